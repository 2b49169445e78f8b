// Package bench measures scheduling policy in virtual time.
//
// A Load is a seeded list of tasks and a set of workers. Run drives a Policy with it: tasks arrive, end after their true
// run time and leave some time after they are told to stop. There is no network, no failure and no delay but that of stops;
// the only subject is the decisions.
//
// The tests of the package bound ratios and counts. Its benchmarks report times and bound nothing:
//
//	go test ./bench -run 'TestReport$' -v
//	go test ./bench -run TestReportSharding -v
//	go test ./bench -run '^$' -bench . -benchmem
package bench
