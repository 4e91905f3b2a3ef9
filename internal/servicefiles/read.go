package servicefiles

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// fileName is the name of a service file; a longer name ends with
	// fileSuffix.
	fileName   = "service.toml"
	fileSuffix = "." + fileName
)

// File is a service file that was found, with its path.
type File struct {
	// Path is the path of the file.
	Path string
	// Data is its content, from which errors found later get their line.
	Data []byte
	// Parsed is its validated content.
	Parsed *service.File
}

// Read reads the service files at the paths. A path is a file of any name, or a
// directory, which is searched recursively except for hidden directories below
// it. The error joins a *service.FileError for each invalid file, and one for
// each file whose service an earlier file has defined. It is also a
// *service.FileError if no file is found.
func Read(paths ...string) ([]File, error) {
	var (
		found []File
		errs  []error
	)
	seen := map[id.Service]string{}
	for _, path := range search(paths, &errs) {
		each, err := read(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		name := each.Parsed.Service
		if other, ok := seen[name]; ok {
			p := &service.FileError{Key: "service", Code: result.ImpossibleValue, Text: fmt.Sprintf("%s already defines the service %q", other, name)}
			errs = append(errs, p.Locate(path, each.Data))
			continue
		}
		seen[name] = path
		found = append(found, each)
	}
	if len(found)+len(errs) == 0 {
		errs = append(errs, &service.FileError{
			File: strings.Join(paths, ", "), Code: result.UnreadableFile,
			Text: fmt.Sprintf("no %s or *%s found", fileName, fileSuffix),
		})
	}
	return found, errors.Join(errs...)
}

func search(paths []string, errs *[]error) []string {
	set := map[string]bool{}
	for _, root := range paths {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && path != root && strings.HasPrefix(d.Name(), "."):
				return fs.SkipDir
			case !d.IsDir() && (path == root || d.Name() == fileName || strings.HasSuffix(d.Name(), fileSuffix)):
				set[filepath.Clean(path)] = true
			}
			return nil
		})
		if err != nil {
			*errs = append(*errs, &service.FileError{File: root, Code: result.UnreadableFile, Text: err.Error()})
		}
	}
	all := make([]string, 0, len(set))
	for path := range set {
		all = append(all, path)
	}
	sort.Strings(all)
	return all
}

func read(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, &service.FileError{File: path, Code: result.UnreadableFile, Text: err.Error()}
	}
	file, err := service.Parse(path, data)
	return File{Path: path, Data: data, Parsed: file}, err
}
