package api

import (
	"fmt"
	"reflect"
	"time"
)

// filled returns a value whose every exported field is set, to a distinct value where the type allows
// that.
func filled[T any]() (value T) {
	count := 0
	fill(reflect.ValueOf(&value).Elem(), &count)
	return value
}

func fill(v reflect.Value, count *int) {
	*count++
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Date(2026, 1, 2, 3, 4, *count, 5, time.UTC)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), count)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), count)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), count)
		}
	case reflect.Slice:
		fillSlice(v, count)
	case reflect.Map:
		key := reflect.New(v.Type().Key()).Elem()
		value := reflect.New(v.Type().Elem()).Elem()
		fill(key, count)
		fill(value, count)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		fillScalar(v, *count)
	}
}

func fillSlice(v reflect.Value, count *int) {
	if v.Type().Elem().Kind() == reflect.Uint8 { // raw JSON
		v.SetBytes(fmt.Appendf(nil, "{\"raw\":%d}", *count))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		fill(v.Index(i), count)
	}
}

func fillScalar(v reflect.Value, count int) {
	switch {
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("text ", count))
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(int64(count))
	case v.CanUint():
		v.SetUint(uint64(count))
	case v.CanFloat():
		v.SetFloat(float64(count) + 0.5)
	default:
		panic("no value for a " + v.Type().String())
	}
}
