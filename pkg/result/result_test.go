package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/result"
)

func TestCodesAscendAndNamesAreUnique(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	last := result.Code(0)
	for _, info := range result.Codes() {
		is.True(info.Code > last) // codes ascend
		is.True(!names[info.Name])
		names[info.Name] = true
		is.Equal(info.Code.Ran(), info.Ran) // the group implies the same Ran as the table
		found, ok := info.Code.Info()
		is.True(ok)
		is.Equal(found, info)
		last = info.Code
	}
}

func TestResultsPageListsEveryCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/RESULTS.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && strings.ContainsAny(line[2:3], "123456789") {
			rows++
		}
	}
	is.Equal(rows, len(result.Codes())) // the page has no other codes
	for _, i := range result.Codes() {
		is.True(strings.Contains(string(page), row(i))) // the page contains the row
	}
}

func row(i result.Info) string {
	status := "-"
	if i.Status != 0 {
		status = fmt.Sprint(i.Status)
	}
	caller := i.Caller
	if caller == "" {
		caller = "-"
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s | %s | %s |", i.Code, i.Name, status, i.Ran, i.Meaning, caller, i.Operator)
}
