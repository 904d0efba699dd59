package dispatch

import (
	"bytes"
	"strconv"

	"github.com/auburnlead/auburnlead/internal/jsonfields"
	"github.com/auburnlead/auburnlead/placement"
)

// routerFields are the members of a chat's body that are meant for the router
// or set by it.
var routerFields = [][]byte{
	[]byte("workspace"), []byte("chat_id"), []byte("rank"), []byte("deadline_ms"), []byte("model"), []byte("stream"),
}

func isRouterField(key []byte) bool {
	for _, f := range routerFields {
		// Decoders that ignore case would take a differing spelling for it.
		if bytes.EqualFold(f, key) {
			return true
		}
	}
	return false
}

// engineBody returns the body for engines: the caller's without the members
// for the router, with the model to use and streaming on.
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

// chatKey places a chat. A request without a chat ID is placed by its messages
// up to the first one of the user: they stay the same while the chat goes on,
// and a system message alone would put all chats of an application together.
func chatKey(caller, workspace, chatID string, body []byte) uint64 {
	if chatID != "" {
		return placement.Hash(caller, workspace, chatID)
	}
	return placement.Hash(caller, workspace, "", string(opening(body)))
}

func opening(body []byte) []byte {
	var first []byte
	jsonfields.EachMember(body, func(m jsonfields.Member) bool {
		if string(m.Key) != "messages" {
			return true
		}
		messages := body[m.Start:m.End]
		end := 0
		jsonfields.EachElement(messages, func(message []byte) bool {
			end = cap(messages) - cap(message) + len(message)
			return !isFromUser(message)
		})
		first = messages[:end]
		return false
	})
	return first
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
