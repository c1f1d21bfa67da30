// SPDX-License-Identifier: Apache-2.0

package lifecycle_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/lifecycle"
)

func TestContextIsCancelledOnClose(t *testing.T) {
	var d lifecycle.Done
	ctx, cancel := d.Context()
	defer cancel()
	require.NoError(t, ctx.Err())
	require.True(t, d.Close())
	<-ctx.Done()
	require.Error(t, ctx.Err())
}
