// SPDX-License-Identifier: Apache-2.0

// Package standin holds small fakes of what pinerun meets outside: the
// platform, model engines, plain services and the weights store. They serve the
// same protocols over loopback sockets and can be told to fail.
//
//	p := &standin.Platform{}
//	err := p.Listen("127.0.0.1:0")
//	defer p.Close()
//	p.Fail(standin.Faults{Down: true})
//
// Nothing outside tests, the demo and the standin verb uses this package.
package standin
