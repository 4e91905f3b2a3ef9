// Package scenarios holds scripted end-to-end tests of the programs: one testscript
// file (*.txtar) per scenario, with commands, expected exit codes and expected
// output. docs/PROMISES.md lists the guarantee and the fault that each covers.
//
// The programs shallotpier, shallotpierd and shallotpier-standin run as separate
// processes of the test binary. Scripts refer to the files of examples/ by
// $EXAMPLES.
//
// # Usage
//
//	go test ./scenarios -run 'Scenarios/check'
package scenarios
