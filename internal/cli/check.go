package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	urfave "github.com/urfave/cli/v3"

	"github.com/shallotpier/shallotpier/internal/servicefiles"
	"github.com/shallotpier/shallotpier/pkg/deployment"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	checkResult struct {
		Files []checkedFile `json:"files"`
	}

	checkedFile struct {
		Path    string     `json:"path"`
		Service id.Service `json:"service"`
		Classes int        `json:"classes"`
		Servers int        `json:"servers"`
		Slots   int        `json:"slots"`
	}
)

func (c *checkResult) text(w io.Writer) error {
	for _, f := range c.Files {
		fmt.Fprintf(w, "%s: service %s, %d classes, %d backend servers, %d slots: ok\n", f.Path, f.Service, f.Classes, f.Servers, f.Slots)
	}
	return nil
}

func (a *App) checkCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "check",
		Usage:       "validate service files, without an entry or a store",
		ArgsUsage:   "FOLDER|FILE...",
		Description: "Reads service.toml and *.service.toml in each folder and its subfolders and reports the first error of each file.\n\nExamples:\n   shallotpier check .\n   shallotpier check --deployment deployment.toml registry/ vault/evidence.service.toml",
		Flags:       []urfave.Flag{deploymentFlag()},
		Action: a.action(func(_ context.Context, cmd *urfave.Command) error {
			files, err := collectFiles(cmd)
			if err != nil {
				return err
			}
			var c checkResult
			for _, f := range files {
				c.Files = append(c.Files, checkedFile{
					Path: f.Path, Service: f.Parsed.Service, Classes: len(f.Parsed.Classes),
					Servers: len(f.Parsed.Servers), Slots: f.Parsed.Slots(),
				})
			}
			return a.show(&c)
		}),
	}
}

func deploymentFlag() urfave.Flag {
	return &urfave.StringFlag{Name: "deployment", Usage: "also validate against the regions, zones and entries of this deployment `FILE`"}
}

// collectFiles reads the service files named by the operands. If a deployment is
// given, every zone and region in them must be part of it.
func collectFiles(cmd *urfave.Command) ([]servicefiles.File, error) {
	if cmd.Args().Len() == 0 {
		return nil, usagef("name the folders or files to read")
	}
	files, err := servicefiles.Read(cmd.Args().Slice()...)
	if err != nil {
		return nil, err
	}
	dep, err := readDeployment(cmd.String("deployment"))
	if err != nil || dep == nil {
		return files, err
	}
	for _, f := range files {
		if err := checkLocations(f, dep); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// readDeployment reads a deployment file; it returns nil if path is empty.
func readDeployment(path string) (*deployment.Deployment, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &service.FileError{File: path, Code: result.UnreadableFile, Text: err.Error()}
	}
	return deployment.Parse(path, data)
}

func checkLocations(f servicefiles.File, dep *deployment.Deployment) error {
	fileError := func(key string, item int, text string) error {
		e := &service.FileError{Key: key, Item: item, Code: result.ImpossibleValue, Text: text}
		return e.Locate(f.Path, f.Data)
	}
	regions := map[id.Region]bool{}
	for _, r := range dep.Regions {
		regions[r.Name] = true
	}
	for i, r := range f.Parsed.Regions {
		if !regions[r.Name] {
			return fileError("regions.name", i, fmt.Sprintf("%q is not in deployment %s", r.Name, dep.Name))
		}
	}
	for i, s := range f.Parsed.Servers {
		if _, ok := dep.Region(s.Zone); !ok {
			return fileError("servers.zone", i, fmt.Sprintf("%q of backend server %s is not in deployment %s", s.Zone, s.Name, dep.Name))
		}
	}
	return nil
}
