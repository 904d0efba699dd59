package dispatch

import (
	"bytes"
	"strconv"

	"github.com/auburnlead/auburnlead/internal/jsonfields"
	"github.com/auburnlead/auburnlead/placement"
)

// routerFields are the members of a chat completion's body that are addressed to
// the router or set by it.
var routerFields = [][]byte{
	[]byte("workspace"), []byte("chat_id"), []byte("rank"), []byte("deadline_ms"), []byte("model"), []byte("stream"),
}

func isRouterField(key []byte) bool {
	for _, f := range routerFields {
		// A decoder that ignores case would accept another spelling as the same
		// member.
		if bytes.EqualFold(f, key) {
			return true
		}
	}
	return false
}

// engineBody returns the request body for engines: the caller's body without
// routerFields, with the model to use and streaming enabled.
func engineBody(body []byte, model string) []byte {
	out := make([]byte, 0, len(body)+len(model)+32)
	out = append(out, '{')
	jsonfields.EachMember(body, func(m jsonfields.Member) bool {
		if !isRouterField(m.Key) {
			out = append(out, '"')
			out = append(out, m.Key...)
			out = append(out, '"', ':')
			out = append(out, body[m.Start:m.End]...)
			out = append(out, ',')
		}
		return true
	})
	out = append(out, `"model":`...)
	out = strconv.AppendQuote(out, model)
	return append(out, `,"stream":true}`...)
}

// chatPlacementKey returns the placement key of a chat. Without a chat ID, the key
// is derived from the messages up to the first one of the user: these stay the
// same throughout a chat, whereas a system message alone would place all chats of
// an application on the same worker.
func chatPlacementKey(caller, workspace, chatID string, body []byte) uint64 {
	if chatID != "" {
		return placement.Hash(caller, workspace, chatID)
	}
	return placement.Hash(caller, workspace, "", string(openingMessages(body)))
}

// openingMessages returns the JSON of a chat's messages up to the first message of
// the user.
func openingMessages(body []byte) []byte {
	var prefix []byte
	jsonfields.EachMember(body, func(m jsonfields.Member) bool {
		if string(m.Key) != "messages" {
			return true
		}
		messages := body[m.Start:m.End]
		end := 0
		jsonfields.EachElement(messages, func(message []byte) bool {
			// Both slices extend to the same capacity, so the difference is the
			// offset of message.
			end = cap(messages) - cap(message) + len(message)
			return !isFromUser(message)
		})
		prefix = messages[:end]
		return false
	})
	return prefix
}

func isFromUser(message []byte) bool {
	user := false
	jsonfields.EachMember(message, func(m jsonfields.Member) bool {
		if string(m.Key) != "role" {
			return true
		}
		user = string(message[m.Start:m.End]) == `"user"`
		return false
	})
	return user
}
