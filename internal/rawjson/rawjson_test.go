package rawjson_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/rawjson"
)

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	tests := map[string]struct {
		text  string
		want  []string
		fails bool
	}{
		"none":                       {`[]`, nil, false},
		"missing":                    {``, nil, false},
		"null":                       {` null `, nil, false},
		"spaces":                     {" [ 1 ,\n2\t] ", []string{"1", "2"}, false},
		"all kinds":                  {`[1.5e3,"a",true,null,{"a":[1]},[{}]]`, []string{`1.5e3`, `"a"`, `true`, `null`, `{"a":[1]}`, `[{}]`}, false},
		"brackets and commas quoted": {`["],[","\"]",{"}":"{"}]`, []string{`"],["`, `"\"]"`, `{"}":"{"}`}, false},
		"escaped backslash":          {`["\\",1]`, []string{`"\\"`, `1`}, false},
		"deeply nested":              {`[1,` + deep + `,2]`, []string{"1", deep, "2"}, false},
		"number out of range":        {`[1e999,2]`, []string{"1e999", "2"}, false},
		"no JSON values":             {`[NaN,-Infinity,x y]`, nil, true},
		"literals of other formats":  {`[NaN,-Infinity,{a:NaN}]`, []string{"NaN", "-Infinity", "{a:NaN}"}, false},
		"object":                     {`{}`, nil, true},
		"no end":                     {`[1`, nil, true},
		"no end of a string":         {`["1]`, nil, true},
		"ends with a backslash":      {`["\`, nil, true},
		"no end of an element":       {`[[1]`, nil, true},
		"no element":                 {`[1,,2]`, nil, true},
		"comma at the end":           {`[1,]`, nil, true},
		"more than an array":         {`[1] 2`, nil, true},
		"bracket without a start":    {`[1]]`, nil, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := rawjson.Elements([]byte(tt.text))
			is.Equal(err != nil, tt.fails)
			if tt.fails {
				return
			}
			is.Equal(len(got), len(tt.want))
			for i := range got {
				is.Equal(string(got[i]), tt.want[i])
			}
		})
	}
}

func TestFields(t *testing.T) {
	tests := map[string]struct {
		text  string
		want  map[string]string
		fails bool
	}{
		"none":            {`{}`, nil, false},
		"null":            {`null`, nil, false},
		"two":             {` { "a" : 1 , "b" : [2,{"c":3}] } `, map[string]string{"a": "1", "b": `[2,{"c":3}]`}, false},
		"key twice":       {`{"a":1,"a":2}`, map[string]string{"a": "2"}, false},
		"escaped key":     {`{"\u0061\"":1}`, map[string]string{`a"`: "1"}, false},
		"array":           {`[]`, nil, true},
		"key unquoted":    {`{a:1}`, nil, true},
		"key of a number": {`{1:1}`, nil, true},
		"no colon":        {`{"a" 1}`, nil, true},
		"no value":        {`{"a":}`, nil, true},
		"no key":          {`{:1}`, nil, true},
		"no end":          {`{"a":1`, nil, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := rawjson.Fields([]byte(tt.text))
			is.Equal(err != nil, tt.fails)
			if tt.fails {
				return
			}
			is.Equal(len(got), len(tt.want))
			for key, value := range tt.want {
				is.Equal(string(got[key]), value)
			}
		})
	}
}

// Valid JSON must be split as encoding/json does, and no text may make it panic.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[1,"a",{"b":[]}]`, `{"a":{"b":[1,2]},"c":"\\"}`, `[[[`, `{"a":1,"a":{}}`, `null`, `"\"`, `[1,]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		elements, elementsErr := rawjson.Elements(text)
		fields, fieldsErr := rawjson.Fields(text)
		var wantElements []json.RawMessage
		if json.Unmarshal(text, &wantElements) == nil {
			is.NoErr(elementsErr)
			is.Equal(len(elements), len(wantElements))
			for i := range elements {
				is.True(bytes.Equal(elements[i], bytes.TrimSpace(wantElements[i])))
			}
		}
		var wantFields map[string]json.RawMessage
		if json.Unmarshal(text, &wantFields) == nil {
			is.NoErr(fieldsErr)
			is.Equal(len(fields), len(wantFields))
			for key, value := range fields {
				is.True(bytes.Equal(value, bytes.TrimSpace(wantFields[key])))
			}
		}
	})
}
