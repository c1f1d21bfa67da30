// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// Mistake is an error in a settings file. Line is 0 if something is missing from the
// file as a whole.
type Mistake struct {
	line   int
	field  string
	what   string
	remedy string
}

// Error returns the line, field, error and remedy in one line.
func (m Mistake) Error() string {
	where := "file"
	if m.line > 0 {
		where = fmt.Sprintf("line %d", m.line)
	}
	if m.field != "" {
		where += ": " + m.field
	}
	return where + ": " + m.what + "; " + m.remedy
}

// Line returns the line number, counted from 1, or 0.
func (m Mistake) Line() int { return m.line }

// Read parses and validates settings and returns them with all mistakes. The settings are
// usable only if there are no mistakes.
func Read(content []byte) (File, []Mistake) {
	var f File
	tree, err := hujson.Parse(content)
	if err != nil {
		return f, []Mistake{syntaxMistake(err)}
	}
	plain, _ := hujson.Standardize(bytes.Clone(content))
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return f, []Mistake{decodeMistake(content, dec, err)}
	}
	if f.Entry == nil && f.Standin == nil && f.Load == nil && f.Front == nil && f.Fleet == nil {
		return f, []Mistake{{what: "has no section", remedy: `give at least one of "entry", "front", "fleet", "standin" and "load"`}}
	}
	return f, validateFile(content, &tree, f)
}

func syntaxMistake(err error) Mistake {
	m := Mistake{what: err.Error(), remedy: "fix the JSON at this place"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		m.line = line
	}
	return m
}

func decodeMistake(content []byte, dec *json.Decoder, err error) Mistake {
	m := Mistake{line: lineAt(content, int(dec.InputOffset())), what: err.Error(), remedy: "use the fields and types of docs/operators/running.md"}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		m.line = lineAt(content, int(typeError.Offset))
		m.field = typeError.Field
		m.what = "holds a " + typeError.Value
		m.remedy = "give a value of type " + typeError.Type.String()
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		m.field = strings.Trim(name, `"`)
		m.line = lineAt(content, bytes.Index(content, []byte(name)))
		m.what = "is not a known setting"
		m.remedy = "remove it or correct its name"
	}
	return m
}

func lineAt(content []byte, offset int) int {
	offset = min(max(offset, 0), len(content))
	return 1 + bytes.Count(content[:offset], []byte("\n"))
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("json"), ",")[0]
	})
	return v
}

func validateFile(content []byte, tree *hujson.Value, f File) []Mistake {
	err := newValidator().Struct(f)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	mistakes := make([]Mistake, 0, len(invalid))
	for _, w := range invalid {
		_, field, _ := strings.Cut(w.Namespace(), ".")
		mistakes = append(mistakes, Mistake{
			line:   lineOf(content, tree, field),
			field:  field,
			what:   fmt.Sprintf("the value %v does not meet %q", printableValue(w), w.Tag()),
			remedy: remedyFor(w),
		})
	}
	return mistakes
}

// printableValue returns the value as shown in messages. It hides keys.
func printableValue(w validator.FieldError) any {
	if strings.Contains(strings.ToLower(w.Field()), "key") {
		return "(hidden)"
	}
	return fmt.Sprintf("%q", fmt.Sprint(w.Value()))
}

// lineOf returns the line of a field, or of its nearest ancestor that is present in the file.
func lineOf(content []byte, tree *hujson.Value, field string) int {
	pointer := "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(field)
	for pointer != "" {
		if v := tree.Find(pointer); v != nil {
			return lineAt(content, v.StartOffset)
		}
		pointer = pointer[:strings.LastIndex(pointer, "/")]
	}
	return 0
}

func remedyFor(w validator.FieldError) string {
	switch w.Tag() {
	case "required", "required_with":
		return "set it"
	case "hostname_port":
		return `give an address like "127.0.0.1:7000"`
	case "http_url":
		return `give a URL like "http://127.0.0.1:7000"`
	case "oneof":
		return "give one of: " + w.Param()
	case "file":
		return "give the path of a file that can be read"
	case "min":
		return "make it at least " + w.Param() + " long"
	case "gt":
		return "give more than " + w.Param()
	case "gte":
		return "give at least " + w.Param()
	case "lte", "max":
		return "give at most " + w.Param()
	case "gtfield":
		return "give more than the field " + strings.ToLower(w.Param())
	default:
		return "see docs/operators/running.md"
	}
}
