package secure

import (
	"context"
	"slices"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// onlyEntries are the methods that a sidecar may not call: a host beside a
// backend server that is taken over must not run requests or order others.
var onlyEntries = map[string]bool{
	peerpb.Sidecar_Run_FullMethodName:    true,
	peerpb.Sidecar_Cancel_FullMethodName: true,
	peerpb.Sidecar_Order_FullMethodName:  true,
	peerpb.Member_Drain_FullMethodName:   true,
	peerpb.Step_Open_FullMethodName:      true,
	peerpb.Step_Pull_FullMethodName:      true,
	peerpb.Step_Announce_FullMethodName:  true,
}

// ServerOptions returns the checks of who calls what.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.UnaryInterceptor(permitUnary), grpc.StreamInterceptor(permitStream)}
}

func permitUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if err := permit(ctx, info.FullMethod, request); err != nil {
		return nil, err
	}
	return handler(ctx, request)
}

func permitStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if err := permit(stream.Context(), info.FullMethod, nil); err != nil {
		return err
	}
	return handler(server, stream)
}

// permit checks the role and name in the caller's certificate.
//
// Any process of the deployment has a certificate that the authority signed.
// Without the check of the name, one of them could speak for all others and
// take them out of service or hand them its own address.
func permit(ctx context.Context, method string, request any) error {
	name, role := caller(ctx)
	if role == "" {
		return status.Error(codes.PermissionDenied, "the certificate names no role")
	}
	if onlyEntries[method] && role != NameEntry {
		return status.Errorf(codes.PermissionDenied, "%s may not call %s", role, method)
	}
	gossip, isGossip := request.(*peerpb.Gossip)
	if isGossip && gossip.GetSender().GetName() != name {
		return status.Errorf(codes.PermissionDenied, "the certificate is for %s", name)
	}
	return nil
}

func caller(ctx context.Context) (name, role string) {
	from, found := peer.FromContext(ctx)
	if !found {
		return "", ""
	}
	info, isTLS := from.AuthInfo.(credentials.TLSInfo)
	if !isTLS || len(info.State.PeerCertificates) == 0 {
		return "", ""
	}
	leaf := info.State.PeerCertificates[0]
	for _, role := range []string{NameEntry, NameSidecar} {
		if slices.Contains(leaf.DNSNames, role) {
			return leaf.Subject.CommonName, role
		}
	}
	return leaf.Subject.CommonName, ""
}
