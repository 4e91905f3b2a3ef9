package service

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"

	"github.com/pelletier/go-toml/v2"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// FileError is an error in a service file, a deployment file or a settings file.
type FileError struct {
	// File is the file's name.
	File string
	// Line is the line, counted from 1; 0 if it is not known.
	Line int
	// Key is the dotted key, such as "classes.deadline"; empty if the error is not
	// about a key.
	Key string
	// Item is the index, counted from 0, in the list that the key's first part
	// names.
	Item int
	// Code is the result code, 4000 to 4004.
	Code result.Code
	// Text describes the error.
	Text string
}

// Error formats the error as "file:line: key: text (code N)".
func (e *FileError) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		where += ": " + e.Key
	}
	return fmt.Sprintf("%s: %s (code %d)", where, e.Text, e.Code)
}

// Parse decodes and validates a service file; name is the file's name in errors.
// The error is a *FileError.
func Parse(name string, data []byte) (*File, error) {
	file := new(File)
	if err := Decode(name, data, file); err != nil {
		return nil, err
	}
	if e := file.Check(); e != nil {
		return nil, e.Locate(name, data)
	}
	return file, nil
}

// Decode decodes TOML strictly into dst, a pointer to a struct whose fields all
// have toml tags. Unknown keys are errors, keys are case-sensitive, and a value
// whose type implements encoding.TextUnmarshaler must be a string. Decode does
// not validate dst further. The error is a *FileError with file, line and key;
// line and key are missing if the document could not be read.
func Decode(name string, data []byte, dst any) error {
	if e := checkStrict(name, data, reflect.TypeOf(dst).Elem()); e != nil {
		return e
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(dst)
	if err == nil {
		return nil
	}
	return decodeError(name, err)
}

func decodeError(name string, err error) *FileError {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := &missing.Errors[0]
		line, _ := first.Position()
		return &FileError{File: name, Line: line, Key: dotted(first.Key()), Code: result.UnknownKey, Text: "the key is not known"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) && len(decode.Key()) == 0 {
		line, _ := decode.Position()
		return &FileError{File: name, Line: line, Code: result.UnreadableFile, Text: decode.Error()}
	}
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return &FileError{File: name, Line: line, Key: dotted(decode.Key()), Code: result.WrongType, Text: decode.Error()}
	}
	return &FileError{File: name, Code: result.UnreadableFile, Text: err.Error()}
}

func dotted(key toml.Key) string {
	var b bytes.Buffer
	for i, k := range key {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(k)
	}
	return b.String()
}
