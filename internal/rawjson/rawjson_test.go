package rawjson

import (
	"encoding/json"
	"flag"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against one part that hides the others: a part that is nested too deeply, has a number out of range or no value at all.
func TestInvalidPartsHideNoOthers(t *testing.T) {
	const depth = 200_000
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	elements, err := Elements([]byte(`[ {"a":1}, ` + deep + ` , {"a":1e999},nonsense,"x,]}\"", 5 ]`))
	if err != nil || len(elements) != 6 {
		t.Fatalf("%d elements, %v, want 6", len(elements), err)
	}
	for i, want := range map[int]string{0: `{"a":1}`, 1: deep, 2: `{"a":1e999}`, 3: "nonsense", 4: `"x,]}\""`, 5: "5"} {
		if string(elements[i]) != want {
			t.Errorf("element %d is %.40s, want %.40s", i, elements[i], want)
		}
	}
	fields, err := Fields([]byte(`{"version":3,"deep":` + deep + `, "list" : [1,2] ,"a\"b":{}}`))
	if err != nil || len(fields) != 4 || string(fields["version"]) != "3" || string(fields["list"]) != "[1,2]" || string(fields[`a"b`]) != "{}" {
		t.Errorf("%d fields, %v, want 4", len(fields), err)
	}
}

func TestTextsThatCannotBeSplit(t *testing.T) {
	for _, text := range []string{" ", "5", `"x"`, "nul", "[", "[1", "[1,", "[,]", "[1,]", "[1]2", "[1}", `["x`, "[[1]"} {
		if elements, err := Elements([]byte(text)); err == nil {
			t.Errorf("%s: elements %s, want an error", text, elements)
		}
	}
	for _, text := range []string{"", "null"} {
		if elements, err := Elements([]byte(text)); err != nil || len(elements) > 0 {
			t.Errorf("%s: elements %s, error %v, want none", text, elements, err)
		}
	}
	for _, text := range []string{"", "[]", "{", `{"a"}`, `{"a":}`, `{"a":1`, `{a:1}`, `{"a":1}}`, `{"a":1,}`, `{:1}`} {
		if fields, err := Fields([]byte(text)); err == nil && (len(fields) == 0 || json.Valid(fields["a"])) {
			t.Errorf("%s: fields %s, want an error or an invalid value", text, fields)
		}
	}
}

// The parts of valid documents are those that encoding/json finds.
func TestPartsAreThoseOfTheDocument(t *testing.T) {
	text := rapid.StringOf(rapid.SampledFrom([]rune(`ab"\[]{},: é`)))
	var value func(depth int) *rapid.Generator[any]
	value = func(depth int) *rapid.Generator[any] {
		kinds := []*rapid.Generator[any]{text.AsAny(), rapid.Int().AsAny(), rapid.Bool().AsAny()}
		if depth > 0 {
			kinds = append(kinds, rapid.SliceOfN(value(depth-1), 0, 3).AsAny(), rapid.MapOfN(text, value(depth-1), 0, 3).AsAny())
		}
		return rapid.OneOf(kinds...)
	}
	encode := func(v any, indent bool) []byte {
		data, err := json.Marshal(v)
		if indent {
			data, err = json.MarshalIndent(v, " ", "\t")
		}
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	rapid.Check(t, func(t *rapid.T) {
		indent := rapid.Bool().Draw(t, "indent")
		array := rapid.SliceOfN(value(2), 0, 4).Draw(t, "array")
		elements, err := Elements(encode(array, indent))
		if err != nil || len(elements) != len(array) {
			t.Fatalf("%d elements, %v, want %d", len(elements), err, len(array))
		}
		object := rapid.MapOfN(text, value(2), 0, 4).Draw(t, "object")
		fields, err := Fields(encode(object, indent))
		if err != nil || len(fields) != len(object) {
			t.Fatalf("%d fields, %v, want %d", len(fields), err, len(object))
		}
		same := func(raw json.RawMessage, want any) {
			var got, normal any
			if err := json.Unmarshal(raw, &got); err != nil {
				t.Fatalf("part %s: %v", raw, err)
			}
			if err := json.Unmarshal(encode(want, false), &normal); err != nil || !reflect.DeepEqual(got, normal) {
				t.Fatalf("part %s, want %v", raw, want)
			}
		}
		for i, raw := range elements {
			same(raw, array[i])
		}
		for name, raw := range fields {
			same(raw, object[name])
		}
	})
}
