package graph

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

type testDocument struct {
	Spec  string `json:"spec"`
	Steps []struct {
		Count int    `json:"count"`
		After []int  `json:"after"`
		Label string `json:"label"`
	} `json:"steps"`
}

// Guards against a check that refuses a job that was accepted before, or lets through more steps than MaxSteps: what is refused has too many
// steps in one of its fields, and what is not refused decodes to at most MaxSteps.
func TestCheckAgreesWithTheDecoder(t *testing.T) {
	element := rapid.SampledFrom([]string{`{}`, `null`, `0`, `{"count":1,"after":[0,1,2]}`, `{"label":"a,b\",]}["}`, ` [[1,2],{"a":[3,4]}] `, `"x,\\"`, "\n{ }\t"})
	elements := rapid.Custom(func(t *rapid.T) string {
		return "[" + strings.Join(rapid.SliceOfN(element, 0, 100).Draw(t, "elements"), ",") + "]"
	})
	field := rapid.Custom(func(t *rapid.T) string {
		name := rapid.SampledFrom([]string{`"steps"`, `"Steps"`, `"st\u0065ps"`, `"spec"`, `"other"`}).Draw(t, "name")
		value := rapid.OneOf(elements, elements, rapid.SampledFrom([]string{`null`, `5`, `"[,,]"`, `{"steps":[1,2]}`, `[`, ``})).Draw(t, "value")
		return name + ":" + value
	})
	rapid.Check(t, func(t *rapid.T) {
		text := "{" + strings.Join(rapid.SliceOfN(field, 0, 3).Draw(t, "fields"), ",") + "}" + rapid.SampledFrom([]string{"", " ", "}", " 1", ","}).Draw(t, "tail")
		check := CheckDocument([]byte(text))
		var decoded testDocument
		err := json.Unmarshal([]byte(text), &decoded)
		if check == nil && len(decoded.Steps) > MaxSteps {
			t.Fatalf("%d steps let through", len(decoded.Steps))
		}
		if check != nil && !errors.Is(check, ErrTooManySteps) {
			t.Fatalf("error %v", check)
		}
		if check == nil || err != nil {
			return
		}
		// Refused and valid: some field of the name has too many elements.
		var fields []int
		decoder := json.NewDecoder(strings.NewReader(text))
		_, _ = decoder.Token() // the document is valid
		for decoder.More() {
			name, _ := decoder.Token() // as above
			var value json.RawMessage
			var list []json.RawMessage
			_ = decoder.Decode(&value) // as above
			if strings.EqualFold(name.(string), "steps") && json.Unmarshal(value, &list) == nil {
				fields = append(fields, len(list))
			}
		}
		for _, n := range fields {
			if n > MaxSteps {
				return
			}
		}
		t.Fatalf("refused with lists of %v elements: %v", fields, check)
	})
}

// Guards against a bound that is off by one, and against a small document of very many steps that is decoded.
func TestStepsAreCountedBeforeTheyAreDecoded(t *testing.T) {
	for _, step := range []string{`{}`, `{"count":1,"after":[1,2]}`, `{"label":"]"}`, `{"label":"},{"}`, `{"label":"\"},,,,{"}`, `{"label":"\\"}`} {
		for n, want := range map[int]error{1: nil, MaxSteps: nil, MaxSteps + 1: ErrTooManySteps, 87_000: ErrTooManySteps} {
			text := []byte(`{"steps":[` + strings.TrimSuffix(strings.Repeat(step+",", n), ",") + `]}`)
			if err := CheckDocument(text); !errors.Is(err, want) {
				t.Errorf("%d steps %s: error %v, want %v", n, step, err, want)
			}
			if err := CheckDocument(append(text, `}`...)); !errors.Is(err, want) {
				t.Errorf("%d steps %s and a rest: error %v, want %v", n, step, err, want)
			}
		}
	}
}
