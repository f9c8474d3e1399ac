// Package standin simulates model engines and plain services, with faults.
//
// It exists because the behaviour of the serving layer under load, cold starts
// and crashes must be measured without accelerators. One process hosts several
// instances, each with its own port, so that a few processes present dozens of
// backend servers.
//
// # Engine model
//
// An engine runs a continuous batching loop. Each step prefills at most
// ChunkTokens prompt tokens (2,048), most urgent requests first, and decodes one
// token of every request whose prompt is complete. The step lasts
//
//	chunk/PrefillTokensPerSecond + DecodeStepMS + n*DecodePerSequenceMS
//
// with 20,000 tokens/s, 20 ms and 0.05 ms for each of n decoding requests, so a
// full chunk slows decoding by 102 ms. A request with a lower priority value
// overtakes a long prefill at the next chunk. The step that completes a prompt
// produces the first token.
//
// KV memory is limited (400,000 tokens). A request reserves its prompt and its
// longest output when it leaves the waiting queue; the head of the queue waits
// for memory and is not overtaken. Full blocks of 512 prompt tokens stay in a
// prefix cache, found by chained xxhash, and are evicted least recently used
// first. A request that can never fit is refused with 413.
//
// A cold engine prefills at a tenth of the speed and falls over when it holds
// more than its cold limit of requests: it crashes and boots again after 5 s
// with a new boot number. It is cold after a boot for ColdRequests requests or
// ColdSeconds, whichever ends first, and when a fault makes it cold.
//
// Every time of the model is multiplied by the time scale. Protocol times are
// real: announcement interval, resume time of interrupted streams (5 s), lifetime
// of exports (10 s) and report delay.
//
// # KV export and import
//
// A request with do_remote_decode produces one token and keeps its KV cache as an
// export; the response carries the kv_transfer_params for the importer. A request
// with do_remote_prefill copies the export at TransferTokensPerSecond (400,000)
// and gives it back. With part_tokens the prompt is larger than one engine: each
// member of a chain prefills that many tokens behind the imported ones, the
// imported ones stay in the memory of their engine, and the release at the end
// passes along the chain. An export that is neither imported nor extended in its
// lifetime is released.
package standin
