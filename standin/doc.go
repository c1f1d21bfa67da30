// SPDX-License-Identifier: Apache-2.0

// Package standin provides small fakes of the systems that pinerun depends on: the
// platform, model engines, plain services and the weights store. They serve the
// same protocols over loopback sockets and can inject faults.
//
//	p := &standin.Platform{}
//	err := p.Listen("127.0.0.1:0")
//	defer p.Close()
//	p.SetFaults(standin.Faults{Down: true})
//
// Only tests, the demo, the load command and the standin command use this package.
package standin
