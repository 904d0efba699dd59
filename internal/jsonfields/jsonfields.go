// Package jsonfields finds the members of a JSON object without decoding their
// values. The input must be valid according to json.Valid. For other input the
// result is unspecified, but no function panics or reads out of bounds.
package jsonfields

import "bytes"

// Member is one member of an object; its value is given as offsets into the
// JSON text.
type Member struct {
	Key        []byte // without the quotes, escapes not decoded
	Start, End int    // offsets of the value
}

// EachMember calls fn for each member of the object in text, in order, until fn
// returns false. It reports whether text is an object.
func EachMember(text []byte, fn func(Member) bool) bool {
	i := skipSpace(text, 0)
	if i >= len(text) || text[i] != '{' {
		return false
	}
	i = skipSpace(text, i+1)
	for i < len(text) && text[i] == '"' {
		keyEnd := skipString(text, i)
		if keyEnd > len(text) || keyEnd < i+2 {
			return true
		}
		m := Member{Key: text[i+1 : keyEnd-1]}
		m.Start = skipSpace(text, min(skipSpace(text, keyEnd)+1, len(text))) // after the colon
		m.End = skipValue(text, m.Start)
		if m.End <= m.Start || !fn(m) {
			return true
		}
		if i = skipSpace(text, m.End); i >= len(text) || text[i] != ',' {
			return true
		}
		i = skipSpace(text, i+1)
	}
	return true
}

// EachElement calls fn with each element of the array in text, in order, until
// fn returns false. It reports whether text is an array.
func EachElement(text []byte, fn func(element []byte) bool) bool {
	i := skipSpace(text, 0)
	if i >= len(text) || text[i] != '[' {
		return false
	}
	i = skipSpace(text, i+1)
	for i < len(text) && text[i] != ']' {
		end := skipValue(text, i)
		if end <= i || !fn(text[i:end]) {
			return true
		}
		if i = skipSpace(text, end); i >= len(text) || text[i] != ',' {
			return true
		}
		i = skipSpace(text, i+1)
	}
	return true
}

func skipSpace(text []byte, i int) int {
	for i < len(text) && (text[i] == ' ' || text[i] == '\n' || text[i] == '\t' || text[i] == '\r') {
		i++
	}
	return i
}

// skipString returns the offset after the string that starts at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text); {
		quote := bytes.IndexByte(text[i:], '"')
		if quote < 0 {
			return len(text)
		}
		end := i + quote
		escapes := 0
		for end-escapes > i && text[end-escapes-1] == '\\' {
			escapes++
		}
		if escapes%2 == 0 {
			return end + 1
		}
		i = end + 1
	}
	return len(text)
}

// skipValue returns the offset after the value that starts at i. A closing bracket
// outside of the value ends it and is not part of it.
func skipValue(text []byte, i int) int {
	depth := 0
	for i < len(text) {
		switch text[i] {
		case '"':
			i = skipString(text, i)
			if depth == 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth <= 0 {
				return i + 1 + min(depth, 0) // depth is -1 for a bracket outside of the value
			}
		case ',', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return i
}
