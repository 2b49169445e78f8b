// Package bench measures scheduling policy in virtual time.
//
// A Workload is a set of workers and a seeded list of tasks. Run drives a Scheduler with it: tasks arrive, end after their
// true run time, and leave their worker some time after they are told to stop. There is no network, no failure and no delay
// other than that of stops, so that a result depends on the scheduling decisions alone.
//
// The tests of the package check ratios and counts against bounds. Its reports and benchmarks print figures and check no
// bounds:
//
//	go test ./bench -run 'TestReport$' -v
//	go test ./bench -run TestReportSharding -v
//	go test ./bench -run '^$' -bench . -benchmem
package bench
