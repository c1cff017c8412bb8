package bramleyhatch

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

func TestCheckDuty(t *testing.T) {
	tests := map[string]struct {
		margin time.Duration
		good   bool
	}{
		"half": {5 * time.Second, true},
		"more": {6 * time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkDuty(settingspb.Duty_builder{
				Lease:  durationpb.New(10 * time.Second),
				Margin: durationpb.New(test.margin),
			}.Build())
			var dutyErr *DutyError
			must.Eq(t, !test.good, errors.As(err, &dutyErr))
		})
	}
}
