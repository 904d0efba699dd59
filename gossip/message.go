package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// messageFormat is the first byte of a message; messages with another first byte
// are rejected. The format grows in two ways that need no new number: by flags,
// and by extensions after the last load report. Routers ignore flags that they do
// not know. An extension is a type of one byte, a length as uvarint and that many
// bytes; routers skip types that they do not know.
const messageFormat = 1

// Flags of a message.
const (
	flagLeaving = 1 << iota // the sender is leaving
	// flagReadsExtensions says that the sender reads messages with extensions. A
	// router that does not set it rejects such messages, so a version that adds an
	// extension must send it only to routers that set the flag.
	flagReadsExtensions
	// flagStarting asks for a reply: the sender has started and knows nothing yet.
	flagStarting
	// flagEras says that a second entry for each table follows the first ones, in the
	// same order. Its newest and version are the eras of those of the first entry.
	flagEras
)

// Units of the ages in a message.
const (
	memberAgeUnit = 100 * time.Millisecond
	loadAgeUnit   = 20 * time.Millisecond
	// maxMessageLoads is the largest number of load reports in a message.
	maxMessageLoads = 255
	// maxLoadAge is the largest age of a load report that a message can hold, in
	// loadAgeUnit.
	maxLoadAge = 255
)

// message is the content of a gossip message. It holds ages instead of times,
// since the clocks of routers differ.
type message struct {
	leaving    bool
	starting   bool
	routerHash uint64 // hash of the sender's ID
	domainHash uint32 // hash of the sender's failure domain
	// capacity is the sender's Config.Capacity.
	capacity uint16
	tables   []tableEntry
	members  []memberEntry
	loads    []loadEntry
	// extensions follow the last load report.
	extensions []Extension
	// unread says which entries or extensions of a decoded message were left out,
	// nil for none.
	unread error
}

type tableEntry struct {
	newest       Position       // newest position known to any router
	peer         netip.AddrPort // a router that has it
	contactAgeMs uint64         // time since any router had contact with the store
	position     Position       // position of the sender's copy
}

type memberEntry struct {
	address    netip.AddrPort
	routerHash uint64
	domainHash uint32
	capacity   uint16
	age        uint64 // in memberAgeUnit
}

type loadEntry struct {
	reportID   uint16 // distinguishes reports of the same worker
	workerHash uint32 // hash of the worker's ID
	inFlight   uint64 // requests on the worker
	age        uint8  // in loadAgeUnit
}

// Maximum sizes of the parts of a message, in bytes.
const (
	memberBytes = 4 + 2 + 8 + 4 + 2 + 2
	loadBytes   = 4 + 2 + 2 + 1
	tableBytes  = 3*binary.MaxVarintLen64 + 4 + 2
	headerBytes = 2 + 8 + 4 + 2 + 3
	// extensionBytes is the size of an extension without its payload.
	extensionBytes = 1 + 2
)

// errMalformed is returned for a message that cannot be decoded.
var errMalformed = errors.New("gossip: malformed message; check that all routers run the same version")

func (m *message) encode() []byte {
	b := make([]byte, 0, MessageBytes)
	flags := byte(flagReadsExtensions | flagEras)
	if m.leaving {
		flags |= flagLeaving
	}
	if m.starting {
		flags |= flagStarting
	}
	b = append(b, messageFormat, flags)
	b = binary.BigEndian.AppendUint64(b, m.routerHash)
	b = binary.BigEndian.AppendUint32(b, m.domainHash)
	b = binary.BigEndian.AppendUint16(b, m.capacity)
	b = append(b, byte(2*len(m.tables)), byte(len(m.members)), byte(len(m.loads)))
	b = m.appendTables(b)
	for _, entry := range m.members {
		b = appendAddress(b, entry.address)
		b = binary.BigEndian.AppendUint64(b, entry.routerHash)
		b = binary.BigEndian.AppendUint32(b, entry.domainHash)
		b = binary.BigEndian.AppendUint16(b, entry.capacity)
		b = binary.AppendUvarint(b, entry.age)
	}
	for _, l := range m.loads {
		b = binary.BigEndian.AppendUint32(b, l.workerHash)
		b = binary.BigEndian.AppendUint16(b, l.reportID)
		b = binary.AppendUvarint(b, l.inFlight)
		b = append(b, l.age)
	}
	for _, e := range m.extensions {
		b = append(b, e.Type)
		b = binary.AppendUvarint(b, uint64(len(e.Payload)))
		b = append(b, e.Payload...)
	}
	return b
}

// appendTables appends the entries of the tables and their eras.
func (m *message) appendTables(b []byte) []byte {
	for _, t := range m.tables {
		b = appendTable(b, t.newest.Version, t.peer, t.contactAgeMs, t.position.Version)
	}
	for _, t := range m.tables {
		b = appendTable(b, t.newest.Era, netip.AddrPort{}, 0, t.position.Era)
	}
	return b
}

// tableSize returns the space to reserve for the tables, in bytes.
func (m *message) tableSize() int { return max(len(m.tables)*tableBytes, len(m.appendTables(nil))) }

func appendTable(b []byte, newest uint64, peer netip.AddrPort, contactAgeMs, version uint64) []byte {
	b = binary.AppendUvarint(b, newest)
	b = appendAddress(b, peer)
	b = binary.AppendUvarint(b, contactAgeMs)
	return binary.AppendUvarint(b, version)
}

// appendAddress appends an IPv4 address and port, zeros if there is none.
func appendAddress(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// decoder reads a message from its start. Once a read fails, all later reads
// fail too.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) next(n int) []byte {
	if d.failed || len(d.rest) < n {
		d.failed = true
		return make([]byte, n)
	}
	part := d.rest[:n]
	d.rest = d.rest[n:]
	return part
}

func (d *decoder) byte() byte     { return d.next(1)[0] }
func (d *decoder) uint16() uint16 { return binary.BigEndian.Uint16(d.next(2)) }
func (d *decoder) uint32() uint32 { return binary.BigEndian.Uint32(d.next(4)) }
func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.next(8)) }

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(d.next(4))), d.uint16())
}

// Largest plausible figures. Larger ones are no figures, so that they can neither
// overflow a duration nor make an age negative.
const (
	maxInFlight  = 1 << 24
	maxAgeMs     = uint64(time.Hour / time.Millisecond)
	maxMemberAge = uint64(time.Hour / memberAgeUnit)
)

// decodeTables decodes n entries of tables, the second half of which hold the eras of
// the first if there are eras.
func (m *message) decodeTables(d *decoder, n int, eras bool) {
	for range n {
		t := tableEntry{newest: Position{Version: d.uvarint()}, peer: d.address(), contactAgeMs: d.uvarint(), position: Position{Version: d.uvarint()}}
		m.tables = append(m.tables, t)
	}
	if eras {
		for i, e := range m.tables[n/2:] {
			if i < n/2 {
				m.tables[i].newest.Era, m.tables[i].position.Era = e.newest.Version, e.position.Version
			}
		}
		m.tables = m.tables[:n/2]
	}
	for i, t := range m.tables {
		if !t.isPlausible() {
			m.unread = errors.New("gossip: table with implausible figures")
			m.tables[i] = tableEntry{contactAgeMs: maxAgeMs} // keeps the place of the tables after it
		}
	}
}

func (t tableEntry) isPlausible() bool {
	return t.newest.Version <= math.MaxInt64 && t.position.Version <= math.MaxInt64 && t.newest.Era <= math.MaxInt32 && !t.newest.Before(t.position) && t.contactAgeMs <= maxAgeMs
}

// decode decodes a message. Entries with implausible figures and unknown
// extensions are left out. Errors: the message is truncated or of another format.
func decode(b []byte) (*message, error) {
	d := &decoder{rest: b}
	if format := d.byte(); format != messageFormat {
		return nil, fmt.Errorf("%w: format %d", errMalformed, format)
	}
	flags := d.byte()
	m := &message{leaving: flags&flagLeaving != 0, starting: flags&flagStarting != 0, routerHash: d.uint64(), domainHash: d.uint32(), capacity: d.uint16()}
	tables, members, loads := int(d.byte()), int(d.byte()), int(d.byte())
	m.decodeTables(d, tables, flags&flagEras != 0)
	for range members {
		entry := memberEntry{address: d.address(), routerHash: d.uint64(), domainHash: d.uint32(), capacity: d.uint16(), age: d.uvarint()}
		if entry.age > maxMemberAge || entry.address.Port() == 0 || entry.address.Addr().IsUnspecified() {
			m.unread = errors.New("gossip: router with implausible address or age")
			continue
		}
		m.members = append(m.members, entry)
	}
	for range loads {
		l := loadEntry{workerHash: d.uint32(), reportID: d.uint16(), inFlight: d.uvarint(), age: d.byte()}
		if l.inFlight > maxInFlight {
			m.unread = errors.New("gossip: load with an implausible figure")
			continue
		}
		m.loads = append(m.loads, l)
	}
	if d.failed {
		return nil, errMalformed
	}
	m.decodeExtensions(d)
	return m, nil
}
