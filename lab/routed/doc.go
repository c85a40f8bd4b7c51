// Package routed tests complete routed daemons against the stand-ins of package metastore
// over loopback, with the clients and codecs of package platform.
package routed
