package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// messageFormat is the first byte of a message; others are refused.
const messageFormat = 1

// flagLeaving says that the sender is stopping.
const flagLeaving = 1

// Units of the ages in a message.
const (
	memberAgeUnit = 100 * time.Millisecond
	loadAgeUnit   = 20 * time.Millisecond
	// loadAgeMost is the largest age of a load that a message can state.
	loadAgeMost = 255
)

// message is what routers tell one another. Ages stand for times, since the
// clocks of routers differ.
type message struct {
	leaving bool
	router  uint64 // hash of the sender's ID
	domain  uint32 // hash of its failure domain
	// capacity of the sender in a unit that all routers share
	capacity uint16
	tables   []tableStatus
	members  []memberStatus
	loads    []loadStatus
}

type tableStatus struct {
	newest uint64         // version of the newest row known to any router
	holder netip.AddrPort // a router that has it
	ageMs  uint64         // since any router was in contact with the store
	have   uint64         // version of the sender's newest row
}

type memberStatus struct {
	address  netip.AddrPort
	router   uint64
	domain   uint32
	capacity uint16
	age      uint64 // in memberAgeUnit
}

type loadStatus struct {
	report uint16 // tells reports of the same worker apart
	worker uint32 // hash of the worker's ID
	busy   uint64 // requests on it
	age    uint8  // in loadAgeUnit
}

// Sizes of the parts of a message in bytes, at most.
const (
	memberBytes = 4 + 2 + 8 + 4 + 2 + 2
	loadBytes   = 4 + 2 + 2 + 1
	tableBytes  = 3*binary.MaxVarintLen64 + 4 + 2
	headBytes   = 2 + 8 + 4 + 2 + 3
)

// errMalformed says that a message cannot be read.
var errMalformed = errors.New("gossip: malformed message; check that all routers run the same version")

func (m *message) encode() []byte {
	b := make([]byte, 0, MessageBytes)
	var flags byte
	if m.leaving {
		flags = flagLeaving
	}
	b = append(b, messageFormat, flags)
	b = binary.BigEndian.AppendUint64(b, m.router)
	b = binary.BigEndian.AppendUint32(b, m.domain)
	b = binary.BigEndian.AppendUint16(b, m.capacity)
	b = append(b, byte(len(m.tables)), byte(len(m.members)), byte(len(m.loads)))
	for _, t := range m.tables {
		b = binary.AppendUvarint(b, t.newest)
		b = appendAddress(b, t.holder)
		b = binary.AppendUvarint(b, t.ageMs)
		b = binary.AppendUvarint(b, t.have)
	}
	for _, p := range m.members {
		b = appendAddress(b, p.address)
		b = binary.BigEndian.AppendUint64(b, p.router)
		b = binary.BigEndian.AppendUint32(b, p.domain)
		b = binary.BigEndian.AppendUint16(b, p.capacity)
		b = binary.AppendUvarint(b, p.age)
	}
	for _, l := range m.loads {
		b = binary.BigEndian.AppendUint32(b, l.worker)
		b = binary.BigEndian.AppendUint16(b, l.report)
		b = binary.AppendUvarint(b, l.busy)
		b = append(b, l.age)
	}
	return b
}

// appendAddress appends an IPv4 address and port, zeros for none.
func appendAddress(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// decoder reads a message from its start. Once a read fails, all do.
type decoder struct {
	rest []byte
	bad  bool
}

func (d *decoder) take(n int) []byte {
	if d.bad || len(d.rest) < n {
		d.bad = true
		return make([]byte, n)
	}
	part := d.rest[:n]
	d.rest = d.rest[n:]
	return part
}

func (d *decoder) byte() byte     { return d.take(1)[0] }
func (d *decoder) uint16() uint16 { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) uint32() uint32 { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.bad || n <= 0 {
		d.bad = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(d.take(4))), d.uint16())
}

func decode(b []byte) (*message, error) {
	d := &decoder{rest: b}
	if format := d.byte(); format != messageFormat {
		return nil, fmt.Errorf("%w: format %d", errMalformed, format)
	}
	m := &message{leaving: d.byte()&flagLeaving != 0, router: d.uint64(), domain: d.uint32(), capacity: d.uint16()}
	tables, members, loads := int(d.byte()), int(d.byte()), int(d.byte())
	for range tables {
		m.tables = append(m.tables, tableStatus{newest: d.uvarint(), holder: d.address(), ageMs: d.uvarint(), have: d.uvarint()})
	}
	for range members {
		m.members = append(m.members, memberStatus{address: d.address(), router: d.uint64(), domain: d.uint32(), capacity: d.uint16(), age: d.uvarint()})
	}
	for range loads {
		m.loads = append(m.loads, loadStatus{worker: d.uint32(), report: d.uint16(), busy: d.uvarint(), age: d.byte()})
	}
	if d.bad || len(d.rest) > 0 {
		return nil, errMalformed
	}
	return m, nil
}
