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

// entryOnlyMethods are the methods that a sidecar may not call: a compromised
// sidecar must not run requests or order other processes.
var entryOnlyMethods = map[string]bool{
	peerpb.Sidecar_Run_FullMethodName:    true,
	peerpb.Sidecar_Cancel_FullMethodName: true,
	peerpb.Sidecar_Order_FullMethodName:  true,
	peerpb.Member_Drain_FullMethodName:   true,
	peerpb.Step_Open_FullMethodName:      true,
	peerpb.Step_Pull_FullMethodName:      true,
	peerpb.Step_Announce_FullMethodName:  true,
}

// ServerOptions returns gRPC interceptors that authorize each call.
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

// permit authorizes a call by the role and name in the caller's certificate.
//
// Every process of the deployment has a certificate signed by the authority. Without the check of
// the name, any process could impersonate another, take it out of service or replace its address.
func permit(ctx context.Context, method string, request any) error {
	name, role := callerIdentity(ctx)
	if role == "" {
		return status.Error(codes.PermissionDenied, "the certificate names no role")
	}
	if entryOnlyMethods[method] && role != NameEntry {
		return status.Errorf(codes.PermissionDenied, "%s may not call %s", role, method)
	}
	gossip, isGossip := request.(*peerpb.Gossip)
	if isGossip && gossip.GetSender().GetName() != name {
		return status.Errorf(codes.PermissionDenied, "the certificate is for %s", name)
	}
	return nil
}

func callerIdentity(ctx context.Context) (name, role string) {
	remote, found := peer.FromContext(ctx)
	if !found {
		return "", ""
	}
	info, isTLS := remote.AuthInfo.(credentials.TLSInfo)
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
