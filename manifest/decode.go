package manifest

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Limits of a manifest's text. They bound the cost of one record for each daemon
// that reads it.
const (
	MaxBytes  = 8 << 20 // complete text; 11,000 organisations take less than half
	MaxDepth  = 12      // nesting depth of objects and arrays
	MaxFaults = 100     // faults listed in one error
)

// Decode decodes and checks a manifest. Unknown and duplicate fields, values of
// the wrong type and data after the manifest are faults. The error is an *Error
// that lists the faults with their paths.
func Decode(data []byte) (Manifest, error) {
	var m Manifest
	d := decoder{faults: &faultList{}}
	if !d.wellFormed(data) {
		return Manifest{}, d.faults.err()
	}
	d.dec = json.NewDecoder(bytes.NewReader(data))
	d.dec.UseNumber()
	d.value(nil, reflect.ValueOf(&m).Elem(), 0)
	if err := d.faults.err(); err != nil {
		return Manifest{}, err
	}
	if err := Check(m); err != nil {
		return Manifest{}, err
	}
	return m, nil
}

// decoder decodes the tokens of encoding/json into a value by reflection. The
// strict mode of that package reports no paths and stops at the first fault.
type decoder struct {
	dec       *json.Decoder
	faults    *faultList
	truncated bool // the token stream ended early
}

func (d *decoder) wellFormed(data []byte) bool {
	if len(data) > MaxBytes {
		d.faults.add(nil, "is %d bytes long, at most %d are allowed", len(data), MaxBytes)
		return false
	}
	if !utf8.Valid(data) {
		d.faults.add(nil, "is not valid UTF-8")
		return false
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return true
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line, column := position(data, syntax.Offset)
		d.faults.add(nil, "is not JSON: line %d, column %d: %v", line, column, err)
		return false
	}
	d.faults.add(nil, "is not JSON: %v", err)
	return false
}

func position(data []byte, offset int64) (line, column int) {
	before := data[:min(int(offset), len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n') - 1
	return line, column
}

// path is the position of a value in the manifest. It is a list linked towards
// the root, so that the text is built only for values with faults.
type path struct {
	parent *path
	name   string
	index  int
}

func (p *path) field(name string) *path { return &path{parent: p, name: name} }
func (p *path) item(i int) *path        { return &path{parent: p, index: i} }

func (p *path) String() string {
	if p == nil {
		return "manifest"
	}
	if p.name == "" {
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	if p.parent == nil {
		return p.name
	}
	return p.parent.String() + "." + p.name
}

func (d *decoder) token(p *path) json.Token {
	t, err := d.dec.Token()
	if err != nil {
		d.truncated = true
		d.faults.add(p, "is not JSON: %v", err)
		return nil
	}
	return t
}

// value decodes the next value into v, or adds a fault and skips the value.
func (d *decoder) value(p *path, v reflect.Value, depth int) {
	t := d.token(p)
	if d.truncated {
		return
	}
	if depth > MaxDepth {
		d.faults.add(p, "is nested deeper than %d", MaxDepth)
		d.skip(t)
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(p, u, t)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.object(p, v, t, depth)
	case reflect.Slice:
		d.array(p, v, t, depth)
	case reflect.String:
		d.stringValue(p, v, t)
	case reflect.Int:
		d.integer(p, v, t)
	case reflect.Float64:
		d.float(p, v, t)
	case reflect.Bool:
		d.boolean(p, v, t)
	default:
		d.wrongType(p, t, "nothing")
	}
}

func (d *decoder) object(p *path, v reflect.Value, t json.Token, depth int) {
	if t != json.Delim('{') {
		d.wrongType(p, t, "an object")
		return
	}
	seen := make(map[string]bool, v.NumField())
	for !d.truncated && d.dec.More() {
		name, _ := d.token(p).(string)
		at := p.field(name)
		if seen[name] {
			d.faults.add(at, "is given twice")
		}
		seen[name] = true
		f, ok := fieldNamed(v, name)
		if !ok {
			d.faults.add(at, "is not a field that a manifest knows here")
			d.skip(d.token(at))
			continue
		}
		d.value(at, f, depth+1)
	}
	d.token(p)
}

func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (d *decoder) array(p *path, v reflect.Value, t json.Token, depth int) {
	if t != json.Delim('[') {
		d.wrongType(p, t, "an array")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; !d.truncated && d.dec.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		d.value(p.item(i), item, depth+1)
		v.Set(reflect.Append(v, item))
	}
	d.token(p)
}

func (d *decoder) text(p *path, u encoding.TextUnmarshaler, t json.Token) {
	s, ok := t.(string)
	if !ok {
		d.wrongType(p, t, "a string")
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.faults.add(p, "is not readable: %v", err)
	}
}

func (d *decoder) stringValue(p *path, v reflect.Value, t json.Token) {
	s, ok := t.(string)
	if !ok {
		d.wrongType(p, t, "a string")
		return
	}
	v.SetString(s)
}

func (d *decoder) integer(p *path, v reflect.Value, t json.Token) {
	n, ok := t.(json.Number)
	if !ok {
		d.wrongType(p, t, "a whole number")
		return
	}
	i, err := strconv.ParseInt(n.String(), 10, 64)
	if err != nil {
		d.faults.add(p, "is %s, expected a whole number", n)
		return
	}
	v.SetInt(i)
}

func (d *decoder) float(p *path, v reflect.Value, t json.Token) {
	n, ok := t.(json.Number)
	if !ok {
		d.wrongType(p, t, "a number")
		return
	}
	f, err := n.Float64()
	if err != nil {
		d.faults.add(p, "is %s, expected a number", n)
		return
	}
	v.SetFloat(f)
}

func (d *decoder) boolean(p *path, v reflect.Value, t json.Token) {
	b, ok := t.(bool)
	if !ok {
		d.wrongType(p, t, "true or false")
		return
	}
	v.SetBool(b)
}

func (d *decoder) wrongType(p *path, t json.Token, want string) {
	d.faults.add(p, "is %s, expected %s", tokenType(t), want)
	d.skip(t)
}

func tokenType(t json.Token) string {
	switch t := t.(type) {
	case json.Delim:
		if t == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return fmt.Sprint(t)
	default:
		return "null"
	}
}

// skip reads to the end of the value that starts with token t.
func (d *decoder) skip(t json.Token) {
	depth := 0
	for !d.truncated {
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth <= 0 {
			return
		}
		t = d.token(nil)
	}
}
