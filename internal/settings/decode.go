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

// decode unmarshals JSON. The error names the key and the wanted form of a value of the wrong form.
func decode(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var wrongForm *json.UnmarshalTypeError
	if !errors.As(err, &wrongForm) {
		return err
	}
	form := describeForm(wrongForm.Type)
	if wrongForm.Field == "" {
		return fmt.Errorf("json: cannot unmarshal %s into Go value of type %s", wrongForm.Value, form)
	}
	return fmt.Errorf("%s: a %s is wanted there, not a %s", wrongForm.Field, form, wrongForm.Value)
}

// formNames are the names that messages have for whole parts of a configuration.
var formNames = map[reflect.Type]string{
	reflect.TypeFor[deploymentFile](): "settings.site",
	reflect.TypeFor[tenancyFile]():    "settings.tenancy",
}

// describeForm describes the form of a value in the syntax of Go types. Messages are held to the
// byte, whatever the Go types are called here.
func describeForm(t reflect.Type) string {
	if name, ok := formNames[t]; ok {
		return name
	}
	switch t.Kind() {
	case reflect.Pointer:
		return "*" + describeForm(t.Elem())
	case reflect.Slice:
		if t.Name() == "" {
			return "[]" + describeForm(t.Elem())
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

// describeField describes a field by its key. A key that is no exported Go name is described by its
// tag, behind the name of the Go field.
func describeField(field reflect.StructField) string {
	key := field.Tag.Get("json")
	form := describeForm(field.Type)
	if token.IsExported(key) {
		return key + " " + form
	}
	return field.Name + " " + form + " " + strconv.Quote(string(field.Tag))
}
