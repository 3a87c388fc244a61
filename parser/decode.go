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

// document holds one text while it is decoded.
type document struct {
	file  string
	path  string
	text  []byte
	lines map[string]int
}

var durationType = reflect.TypeFor[time.Duration]()

// decode parses the text strictly into dst, which points to a struct whose
// fields carry json tags. It remembers the line of each field, so that fault
// can name it in later checks.
func (d *document) decode(dst any) error {
	d.lines = make(map[string]int)
	v, err := hujson.Parse(d.text)
	if err != nil {
		return &Error{file: d.file, line: syntaxLine(err), path: d.path, cause: ErrSyntax, detail: err.Error()}
	}
	return d.value(&v, reflect.ValueOf(dst).Elem(), "")
}

// syntaxLine takes the line out of a syntax error of hujson, 0 if it has none.
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

// fault builds an *Error at the line where field was read.
func (d *document) fault(field string, cause error, format string, args ...any) error {
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

func (d *document) note(v *hujson.Value, field string) {
	d.lines[field] = 1 + bytes.Count(d.text[:min(v.StartOffset, len(d.text))], []byte("\n"))
}

func (d *document) value(v *hujson.Value, dst reflect.Value, field string) error {
	d.note(v, field)
	if dst.Type() == durationType {
		return d.duration(v, dst, field)
	}
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.textual(v, u, field)
	}
	switch dst.Kind() {
	case reflect.Struct:
		return d.object(v, dst, field)
	case reflect.Slice:
		return d.array(v, dst, field)
	case reflect.String:
		l, ok := v.Value.(hujson.Literal)
		if !ok || l.Kind() != '"' {
			return d.fault(field, ErrType, "want a string")
		}
		dst.SetString(l.String())
		return nil
	default:
		l, ok := v.Value.(hujson.Literal)
		if !ok {
			return d.fault(field, ErrType, "want a %s", dst.Kind())
		}
		if err := json.Unmarshal([]byte(l), dst.Addr().Interface()); err != nil {
			return d.fault(field, ErrType, "got: %s want: a %s", l, dst.Kind())
		}
		return nil
	}
}

func (d *document) duration(v *hujson.Value, dst reflect.Value, field string) error {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return d.fault(field, ErrUnit, "got: %s want: a duration with a unit, such as \"250ms\"", v.Value)
	}
	t, err := time.ParseDuration(l.String())
	if err != nil {
		return d.fault(field, ErrUnit, "got: %s want: a duration with a unit, such as \"250ms\"", l)
	}
	dst.SetInt(int64(t))
	return nil
}

func (d *document) textual(v *hujson.Value, u encoding.TextUnmarshaler, field string) error {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return d.fault(field, ErrType, "want a string")
	}
	if err := u.UnmarshalText([]byte(l.String())); err != nil {
		return d.fault(field, ErrRange, "%v", err)
	}
	return nil
}

// defaulter is an element of an array whose absent fields do not mean zero.
type defaulter interface{ setDefaults() }

func (d *document) array(v *hujson.Value, dst reflect.Value, field string) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.fault(field, ErrType, "want an array")
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		if e, ok := dst.Index(i).Addr().Interface().(defaulter); ok {
			e.setDefaults()
		}
		err := d.value(&a.Elements[i], dst.Index(i), fmt.Sprintf("%s[%d]", field, i))
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *document) object(v *hujson.Value, dst reflect.Value, field string) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.fault(field, ErrType, "want an object")
	}
	seen := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		full := strings.TrimPrefix(field+"."+name, ".")
		d.note(&m.Name, full)
		if seen[name] {
			return d.fault(full, ErrDuplicate, "")
		}
		seen[name] = true
		f, ok := fieldByTag(dst, name)
		if !ok {
			return d.fault(full, ErrUnknown, "")
		}
		if err := d.value(&m.Value, f, full); err != nil {
			return err
		}
	}
	return nil
}

// fieldByTag finds the field of the struct s whose json tag is name.
func fieldByTag(s reflect.Value, name string) (reflect.Value, bool) {
	t := s.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return s.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// check reports field with ErrRange unless low <= v <= high.
func check[T int | float64 | time.Duration](d *document, field string, v, low, high T) error {
	if v < low || v > high {
		return d.fault(field, ErrRange, "got: %v want: %v to %v", v, low, high)
	}
	return nil
}

// firstOf returns the first error that is not nil.
func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
