package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	urfave "github.com/urfave/cli/v3"
)

func TestEveryCommandHasExamples(t *testing.T) {
	a := App{}
	var visit func(path string, c *urfave.Command)
	visit = func(path string, c *urfave.Command) {
		is := is.New(t)
		path += c.Name
		if !strings.Contains(c.Description, "Examples:\n   shallotpier ") || c.Usage == "" {
			t.Errorf("%s lacks usage or examples", path)
		}
		is.True(c.Action != nil || len(c.Commands) > 0)
		for _, sub := range c.Commands {
			visit(path+" ", sub)
		}
	}
	visit("", a.root())
}

func TestCommandsPageListsCommandsAndExitCodes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators/commands.md")
	is.NoErr(err)
	a := App{}
	for _, c := range a.commands() {
		is.True(strings.Contains(string(page), "`"+c.Name+"`")) // the command is on the page
	}
	for code := ExitDone; code <= ExitPromiseBroken; code++ {
		is.True(strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code))) // the exit code is on the page
	}
}

func TestHelpOfEachCommand(t *testing.T) {
	for _, c := range (&App{}).commands() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			var out, problems bytes.Buffer
			app := App{Stdout: &out, Stderr: &problems}
			is.Equal(app.Run(context.Background(), []string{"shallotpier", c.Name, "--help"}), ExitDone)
			is.True(strings.Contains(out.String(), "Examples:"))
			is.Equal(problems.String(), "")
		})
	}
}
