//go:build deps

package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-json-experiment/json/jsontext"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/uuid"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/phuslu/log"
	_ "github.com/rotisserie/eris"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
