package parser

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// document is the state of decoding one settings document.
type document struct {
	file string
	path string
	text []byte
	// lines maps each dotted field name to the line it was read at.
	lines map[string]int
}

var durationType = reflect.TypeFor[time.Duration]()

// decode parses the text strictly into dst, which points to a struct whose
// fields have json tags. It records the line of each field, so that errorf
// can report the line in later checks.
func (d *document) decode(dst any) error {
	d.lines = make(map[string]int)
	v, err := hujson.Parse(d.text)
	if err != nil {
		return &Error{file: d.file, line: syntaxLine(err), path: d.path, cause: ErrSyntax, detail: err.Error()}
	}
	return d.decodeValue(&v, reflect.ValueOf(dst).Elem(), "")
}

// syntaxLine extracts the line number from a hujson syntax error, or returns 0
// if the error has none.
func syntaxLine(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(rest, ",")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return n
}

// errorf returns an *Error at the line where field was read, or, if field was
// not read, the line of its nearest enclosing field.
func (d *document) errorf(field string, cause error, format string, args ...any) error {
	e := &Error{file: d.file, path: d.path, field: field, cause: cause, detail: fmt.Sprintf(format, args...)}
	for f := field; ; {
		if n, ok := d.lines[f]; ok {
			e.line = n
			return e
		}
		i := strings.LastIndexAny(f, ".[")
		if i < 0 {
			return e
		}
		f = f[:i]
	}
}

// recordLine records the line at which v starts as the line of field.
func (d *document) recordLine(v *hujson.Value, field string) {
	d.lines[field] = 1 + bytes.Count(d.text[:min(v.StartOffset, len(d.text))], []byte("\n"))
}

func (d *document) decodeValue(v *hujson.Value, dst reflect.Value, field string) error {
	d.recordLine(v, field)
	if dst.Type() == durationType {
		return d.decodeDuration(v, dst, field)
	}
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.decodeText(v, u, field)
	}
	switch dst.Kind() {
	case reflect.Struct:
		return d.decodeObject(v, dst, field)
	case reflect.Slice:
		return d.decodeArray(v, dst, field)
	case reflect.String:
		l, ok := v.Value.(hujson.Literal)
		if !ok || l.Kind() != '"' {
			return d.errorf(field, ErrType, "want a string")
		}
		dst.SetString(l.String())
		return nil
	default:
		l, ok := v.Value.(hujson.Literal)
		if !ok {
			return d.errorf(field, ErrType, "want a %s", dst.Kind())
		}
		if err := json.Unmarshal([]byte(l), dst.Addr().Interface()); err != nil {
			return d.errorf(field, ErrType, "got: %s want: a %s", l, dst.Kind())
		}
		return nil
	}
}

func (d *document) decodeDuration(v *hujson.Value, dst reflect.Value, field string) error {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return d.errorf(field, ErrUnit, "got: %s want: a duration with a unit, such as \"250ms\"", v.Value)
	}
	t, err := time.ParseDuration(l.String())
	if err != nil {
		return d.errorf(field, ErrUnit, "got: %s want: a duration with a unit, such as \"250ms\"", l)
	}
	dst.SetInt(int64(t))
	return nil
}

func (d *document) decodeText(v *hujson.Value, u encoding.TextUnmarshaler, field string) error {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return d.errorf(field, ErrType, "want a string")
	}
	if err := u.UnmarshalText([]byte(l.String())); err != nil {
		return d.errorf(field, ErrRange, "%v", err)
	}
	return nil
}

// defaulter is implemented by array elements whose absent fields have non-zero
// defaults.
type defaulter interface{ setDefaults() }

func (d *document) decodeArray(v *hujson.Value, dst reflect.Value, field string) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.errorf(field, ErrType, "want an array")
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		if e, ok := dst.Index(i).Addr().Interface().(defaulter); ok {
			e.setDefaults()
		}
		err := d.decodeValue(&a.Elements[i], dst.Index(i), fmt.Sprintf("%s[%d]", field, i))
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *document) decodeObject(v *hujson.Value, dst reflect.Value, field string) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorf(field, ErrType, "want an object")
	}
	seen := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		qualified := strings.TrimPrefix(field+"."+name, ".")
		d.recordLine(&m.Name, qualified)
		if seen[name] {
			return d.errorf(qualified, ErrDuplicate, "")
		}
		seen[name] = true
		f, ok := fieldByTag(dst, name)
		if !ok {
			return d.errorf(qualified, ErrUnknown, "")
		}
		if err := d.decodeValue(&m.Value, f, qualified); err != nil {
			return err
		}
	}
	return nil
}

// fieldByTag returns the field of the struct s whose json tag is name.
func fieldByTag(s reflect.Value, name string) (reflect.Value, bool) {
	t := s.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return s.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// checkRange returns an ErrRange error for field unless low <= v <= high.
func checkRange[T int | float64 | time.Duration](d *document, field string, v, low, high T) error {
	if v < low || v > high {
		return d.errorf(field, ErrRange, "got: %v want: %v to %v", v, low, high)
	}
	return nil
}

// firstError returns the first non-nil error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
