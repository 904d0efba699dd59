package objects

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Format returns a set in INI format, with every key that has a value. Parsing
// the result gives an equal set.
func Format(s *Set) []byte {
	var b bytes.Buffer
	formatKind(&b, KindRank, rankFields, s.Ranks)
	formatKind(&b, KindModel, modelFields, s.Models)
	formatKind(&b, KindCaller, callerFields, s.Callers)
	formatKind(&b, KindUpstream, upstreamFields, s.Upstreams)
	formatKind(&b, KindRoute, routeFields, s.Routes)
	return b.Bytes()
}

func formatKind[T any](b *bytes.Buffer, kind Kind, fields []field[T], all map[string]*T) {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if b.Len() > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(b, "[%s.%s]\n", kind, name)
		for _, f := range fields {
			for _, v := range f.get(all[name]) {
				fmt.Fprintf(b, "%s = %s\n", f.key, v)
			}
		}
	}
}

// Encode returns the canonical encoding of a set: equal sets have equal
// encodings.
func Encode(s *Set) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("objects: encode: %w; check the set first", err)
	}
	return body, nil
}

// Decode reads the canonical encoding. Keys that this version does not know
// are ignored, so that older routers accept sets of newer ones.
func Decode(body []byte) (*Set, error) {
	s := NewSet()
	if err := json.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("objects: decode: %w; the body is not a set", err)
	}
	return s, nil
}
