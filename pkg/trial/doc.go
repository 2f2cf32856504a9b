// Package trial simulates a deployment: it connects the production decision
// cores of several instances through one event queue in simulated time, so
// that failures can be injected at exact moments.
//
// Everything around the cores is a small fake: links that delay and lose
// messages and can be cut, a platform that can be down, slow or lose answers,
// backend servers, callers and operators. All random choices come from one
// seed, so the same trial can be run again. While it runs, a Trial records
// every violation of a promise.
//
// # Usage
//
//	t := trial.New(trial.Teranga(), seed)
//	t.Schedule(6*time.Second, func() { t.Kill(t.Instances()[0], 3*time.Second) })
//	for _, v := range t.Run(30 * time.Second) {
//		fmt.Println(v)
//	}
//
// A Trial is not safe for use from several goroutines.
package trial
