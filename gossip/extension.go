package gossip

import (
	"fmt"
	"time"
)

// Extension is the part of a message that another component of the routers writes
// and reads.
type Extension struct {
	Type    byte // one of the types below
	Payload []byte
}

// Types of extensions.
const (
	ExtensionCrashes    byte = 1 // package quarantine
	ExtensionRateLimits byte = 2 // limits that workers name
	ExtensionPauses     byte = 3 // pauses that workers ask for
	ExtensionFleetSize  byte = 4 // largest number of routers seen, and cold workers
	ExtensionDemand     byte = 5 // recent requests and rejections, package admission
	ExtensionSpeeds     byte = 6 // samples of the speed of workers
)

// ExtensionLimit returns the largest payload of an extension, in bytes.
func (v *View) ExtensionLimit() int {
	return MessageBytes - headerBytes - v.header(time.Time{}).tableSize() - extensionBytes
}

// ExtensionMessage returns a message that carries an extension. It is separate from
// Message, so that routers that do not read extensions lose nothing else. The payload
// must not be longer than ExtensionLimit.
func (v *View) ExtensionMessage(now time.Time, e Extension) []byte {
	m := v.header(now)
	m.extensions = []Extension{e}
	return m.encode()
}

// decodeExtensions reads the extensions after the last load report. A truncated
// extension costs only itself.
func (m *message) decodeExtensions(d *decoder) {
	for len(d.rest) > 0 {
		kind, n := d.byte(), d.uvarint()
		if d.failed || n > uint64(len(d.rest)) {
			m.unread = fmt.Errorf("gossip: truncated extension of type %d", kind)
			return
		}
		m.extensions = append(m.extensions, Extension{kind, d.next(int(n))})
	}
}

// header returns a message without routers and loads.
func (v *View) header(now time.Time) *message {
	m := &message{leaving: v.leaving, starting: v.received < startingMessages, routerHash: v.routerHash, domainHash: v.domainHash, capacity: v.capacity()}
	for _, t := range v.tables {
		m.tables = append(m.tables, tableEntry{newest: t.newest, peer: t.peer, contactAgeMs: ageMs(now, t.lastContact), position: t.position})
	}
	return m
}
