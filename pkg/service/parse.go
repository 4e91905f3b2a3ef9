package service

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// FileError says what is wrong with a service file or a settings file.
type FileError struct {
	// File is the file's name.
	File string
	// Line is counted from 1; 0 where no line can be given.
	Line int
	// Key is the dotted key, such as "classes.deadline".
	Key string
	// Code is the numbered result code.
	Code result.Code
	// Text says what is wrong.
	Text string
}

// Error formats the problem as "file:line: key: text (code N)".
func (p *FileError) Error() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		where += ": " + p.Key
	}
	return fmt.Sprintf("%s: %s (code %d)", where, p.Text, p.Code)
}

// Parse decodes and checks a service file. The error is a *FileError.
func Parse(name string, data []byte) (*File, error) {
	file := new(File)
	if err := Decode(name, data, file); err != nil {
		return nil, err
	}
	if p := file.Check(); p != nil {
		p.File = name
		return nil, p
	}
	return file, nil
}

// Decode decodes TOML strictly into dst, which it doesn't check further. The
// error is a *FileError that names file, line and key.
func Decode(name string, data []byte, dst any) error {
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
