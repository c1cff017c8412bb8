package operator

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// paramWindow is the query parameter for the start of a window.
const paramWindow = "window"

// Usage returns the closed usage window with the given start (Unix seconds), or
// all closed windows if start is 0.
func (c *Client) Usage(ctx context.Context, start int64) (*operatorpb.UsageReply, error) {
	reply := &operatorpb.UsageReply{}
	query := url.Values{paramWindow: {strconv.FormatInt(start, 10)}}
	return reply, c.call(ctx, http.MethodGet, PathUsage, query, nil, reply)
}

// usage returns closed windows from the store, with the figures that are reported.
func (s *Server) usage(ctx context.Context, _ string, r *http.Request) (proto.Message, error) {
	text := r.URL.Query().Get(paramWindow)
	start, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, &lists.InvalidError{Problem: strconv.Quote(text) + " is not a window's start in seconds since 1970"}
	}
	windows, err := s.windows(ctx, start)
	if err != nil {
		return nil, err
	}
	if start != 0 && len(windows) == 0 {
		return nil, &NotFoundError{Name: usage.WindowKey(start)}
	}
	return operatorpb.UsageReply_builder{Windows: windows}.Build(), nil
}

func (s *Server) windows(ctx context.Context, start int64) ([]*statepb.Window, error) {
	reply, err := s.Store.List(ctx, usage.KeyPrefix)
	if err != nil {
		return nil, err
	}
	var windows []*statepb.Window
	for _, value := range reply.Values {
		window, err := usage.ParseWindow(value)
		switch {
		case err != nil && value.Key == usage.WindowKey(start):
			return nil, err
		case err != nil:
			klog.ErrorS(err, "operator: a stored window can't be decoded and is left out", "key", value.Key)
			continue
		}
		if start == 0 || window.GetStart() == start {
			windows = append(windows, window)
		}
	}
	slices.SortFunc(windows, func(a, b *statepb.Window) int { return cmp.Compare(a.GetStart(), b.GetStart()) })
	return windows, nil
}
