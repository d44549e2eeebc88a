package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/token"
	"reflect"
	"strconv"
	"strings"
)

// decode unmarshals JSON into target. If a value has the wrong type, the error names its key and the
// expected type.
func decode(text []byte, target any) error {
	err := json.Unmarshal(text, target)
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return err
	}
	wantedType := describeType(typeError.Type)
	if typeError.Field == "" {
		return fmt.Errorf("json: cannot unmarshal %s into Go value of type %s", typeError.Value, wantedType)
	}
	return fmt.Errorf("%s: a %s is wanted there, not a %s", typeError.Field, wantedType, typeError.Value)
}

// typeNames maps the types of whole configuration sections to the names that error messages use for
// them.
var typeNames = map[reflect.Type]string{
	reflect.TypeFor[deploymentFile](): "settings.site",
	reflect.TypeFor[tenancyFile]():    "settings.tenancy",
}

// describeType returns a type in Go syntax for error messages. It expands named structs, so that the
// messages, which tests compare byte for byte, don't depend on the names of Go types.
func describeType(t reflect.Type) string {
	if name, ok := typeNames[t]; ok {
		return name
	}
	switch t.Kind() {
	case reflect.Pointer:
		return "*" + describeType(t.Elem())
	case reflect.Slice:
		if t.Name() == "" {
			return "[]" + describeType(t.Elem())
		}
	case reflect.Struct:
		var fields []string
		for _, field := range reflect.VisibleFields(t) {
			fields = append(fields, describeField(field))
		}
		return "struct { " + strings.Join(fields, "; ") + " }"
	}
	return t.String()
}

// describeField returns the key and type of a field. If the key is not an exported Go name, the
// result is the name of the Go field, its type and its quoted tag.
func describeField(field reflect.StructField) string {
	key := field.Tag.Get("json")
	fieldType := describeType(field.Type)
	if token.IsExported(key) {
		return key + " " + fieldType
	}
	return field.Name + " " + fieldType + " " + strconv.Quote(string(field.Tag))
}
