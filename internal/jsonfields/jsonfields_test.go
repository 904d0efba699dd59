package jsonfields

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Guards against members that are missed, split or misread, which would let the
// engine run a model that the router has not checked. For invalid JSON only
// panics and endless loops are failures.
func FuzzObject(f *testing.F) {
	for _, seed := range []string{`{"a":1,"b":[1,{"c":"]}"}],"d":"\\\"}"}`, ` { "a" : null , "a":{} } `, `[1,"x",[2]]`, `{"a"`, `{"a":`, `{"a":}`, `"`, `[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var keys, values [][]byte
		isObject := EachMember(text, func(m Member) bool {
			keys = append(keys, m.Key)
			values = append(values, text[m.Start:m.End])
			return true
		})
		var elements [][]byte
		isArray := EachElement(text, func(e []byte) bool { elements = append(elements, e); return true })
		if !json.Valid(text) {
			return
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.UseNumber()
		start, err := decoder.Token()
		if err != nil || isObject != (start == json.Delim('{')) || isArray != (start == json.Delim('[')) {
			t.Fatalf("%q: object %v, array %v, first token %v, error %v", text, isObject, isArray, start, err)
		}
		count := 0
		for (isObject || isArray) && decoder.More() {
			if isObject {
				key, _ := decoder.Token()
				var got string
				if json.Unmarshal([]byte(`"`+string(keys[count])+`"`), &got) != nil || got != key {
					t.Fatalf("%q: member %d is %q instead of %q", text, count, keys[count], key)
				}
				elements = values
			}
			var expected json.RawMessage
			if err := decoder.Decode(&expected); err != nil || !bytes.Equal(bytes.TrimSpace(expected), elements[count]) {
				t.Fatalf("%q: value %d is %q instead of %q", text, count, elements[count], expected)
			}
			count++
		}
		if count != len(elements) {
			t.Fatalf("%q: %d values instead of %d", text, len(elements), count)
		}
	})
}
