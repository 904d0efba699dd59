package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// missingError means that a required field has no value.
type missingError struct{}

func (*missingError) Error() string { return "no value given" }

// setField parses text into the field and validates it against the field's
// tags.
func setField(f reflect.Value, tag reflect.StructTag, text string) error {
	if text == "" && tag.Get("required") == "true" {
		return &missingError{}
	}
	switch {
	case f.Type() == durationType:
		return setDuration(f, tag, text)
	case f.Kind() == reflect.Bool:
		return setBool(f, text)
	case f.CanInt():
		return setInt(f, tag, text)
	case f.CanFloat():
		return setFloat(f, tag, text)
	case f.Kind() == reflect.Slice:
		f.Set(reflect.ValueOf(splitList(text)))
		return nil
	case f.Kind() == reflect.String:
		f.SetString(text)
		return checkString(tag, text)
	}
	panic(fmt.Sprintf("settings: field type %s is not supported", f.Type()))
}

func setDuration(f reflect.Value, tag reflect.StructTag, text string) error {
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 500ms or 3s", text)
	}
	f.SetInt(int64(d))
	return checkRange(tag, text, d, time.ParseDuration)
}

func setBool(f reflect.Value, text string) error {
	if text == "" {
		return nil
	}
	b, err := strconv.ParseBool(text)
	if err != nil {
		return fmt.Errorf("%q is neither true nor false", text)
	}
	f.SetBool(b)
	return nil
}

func setInt(f reflect.Value, tag reflect.StructTag, text string) error {
	if text == "" {
		return nil
	}
	parse := func(s string) (int64, error) { return strconv.ParseInt(s, 10, f.Type().Bits()) }
	n, err := parse(text)
	if err != nil {
		return fmt.Errorf("%q is not a whole number", text)
	}
	f.SetInt(n)
	return checkRange(tag, text, n, parse)
}

func setFloat(f reflect.Value, tag reflect.StructTag, text string) error {
	if text == "" {
		return nil
	}
	parse := func(s string) (float64, error) { return strconv.ParseFloat(s, 64) }
	n, err := parse(text)
	if err != nil || n != n {
		return fmt.Errorf("%q is not a number", text)
	}
	f.SetFloat(n)
	return checkRange(tag, text, n, parse)
}

// checkRange compares a value with the min and max tags.
func checkRange[T cmp.Ordered](tag reflect.StructTag, text string, v T, parse func(string) (T, error)) error {
	if s := tag.Get("min"); s != "" {
		if low, err := parse(s); err != nil || v < low {
			return fmt.Errorf("%s is below the minimum", text)
		}
	}
	if s := tag.Get("max"); s != "" {
		if high, err := parse(s); err != nil || v > high {
			return fmt.Errorf("%s is above the maximum", text)
		}
	}
	return nil
}

func checkString(tag reflect.StructTag, text string) error {
	if oneof := tag.Get("oneof"); oneof != "" && !slices.Contains(strings.Fields(oneof), text) {
		return fmt.Errorf("%q is not one of the allowed values", text)
	}
	if text == "" {
		return nil
	}
	switch tag.Get("check") {
	case "hostport":
		return checkHostPort(text)
	case "url":
		return checkURL(text)
	}
	return nil
}

func checkHostPort(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address and port", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no port between 0 and 65535", text)
	}
	return nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("not an http or https URL")
	}
	return checkHostPort(u.Host)
}

func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// allowedValues describes the values that the tags allow.
func allowedValues(tag reflect.StructTag) string {
	switch {
	case tag.Get("oneof") != "":
		return strings.Join(strings.Fields(tag.Get("oneof")), ", ")
	case tag.Get("min") != "" && tag.Get("max") != "":
		return tag.Get("min") + " to " + tag.Get("max")
	case tag.Get("min") != "":
		return "at least " + tag.Get("min")
	case tag.Get("max") != "":
		return "at most " + tag.Get("max")
	case tag.Get("check") == "hostport":
		return "IP:port"
	case tag.Get("check") == "url":
		return "http://IP:port or https://IP:port"
	}
	return ""
}
