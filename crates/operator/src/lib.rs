//! gRPC server and client for operators.
