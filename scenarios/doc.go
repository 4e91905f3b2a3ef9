// Package scenarios holds scripted scenarios of the programs in the language
// of testscript: one *.txtar file each, with the commands, their exit codes and
// what they print. docs/PROMISES.md tells which promise and fault each covers.
//
// The programs run as commands of the test binary, as processes of their own:
// shallotpier, shallotpierd and shallotpier-standin. A script names the files
// of examples/ through $EXAMPLES.
//
// # Usage
//
//	go test ./scenarios -run 'Scenarios/check'
package scenarios
