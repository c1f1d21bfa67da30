// SPDX-License-Identifier: Apache-2.0

package part_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/part"
)

func TestTheContextEndsWithThePiece(t *testing.T) {
	var d part.Done
	ctx, cancel := d.Context()
	defer cancel()
	require.NoError(t, ctx.Err())
	require.True(t, d.Close())
	<-ctx.Done()
	require.Error(t, ctx.Err())
}
