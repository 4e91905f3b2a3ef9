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

func TestEveryCommandHasUsageAndExamples(t *testing.T) {
	a := App{}
	var visit func(path string, c *urfave.Command)
	visit = func(path string, c *urfave.Command) {
		is := is.New(t)
		path += c.Name
		if !strings.Contains(c.Description, "Examples:\n   shallotpier ") || c.Usage == "" {
			t.Errorf("%s has no usage or no examples", path)
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
		is.True(strings.Contains(string(page), "`"+c.Name+"`")) // the page lists the command
	}
	for code := ExitDone; code <= ExitPromiseBroken; code++ {
		is.True(strings.Contains(string(page), fmt.Sprintf("\n| %d | ", code))) // the page lists the exit code
	}
}

func TestHelpOfEachCommandSucceeds(t *testing.T) {
	for _, c := range (&App{}).commands() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			app := App{Stdout: &stdout, Stderr: &stderr}
			is.Equal(app.Run(context.Background(), []string{"shallotpier", c.Name, "--help"}), ExitDone)
			is.True(strings.Contains(stdout.String(), "Examples:"))
			is.Equal(stderr.String(), "")
		})
	}
}
