// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"

	"pinerun.example/pinerun/protocol"
)

func (s *serviceRun) serveClaimed(_ context.Context, _ string) (serviceAnswer, error) {
	return serviceAnswer{}, protocol.Refuse(protocol.ClaimUnavailable, "claims are not served yet")
}
