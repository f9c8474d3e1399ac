// Package standin simulates model engines and plain services, with faults.
//
// Tests and load runs use it to observe the serving layer under load, cold starts
// and crashes without accelerators. One process hosts several instances, each
// with its own port, so that a few processes present dozens of backend servers.
// The package runs no model: the text of a completion is made up, and its last
// token is a checksum by which the receiver can check that it is complete and
// belongs to the request. The package holds no part of the serving layer.
//
// # Engine model
//
// An engine runs a continuous batching loop. Each step prefills at most
// ChunkTokens prompt tokens (2,048), requests with the lowest priority value
// first, and decodes one token of every request whose prompt is complete.
// The step lasts
//
//	chunk/PrefillTokensPerSecond + DecodeStepMS + n*DecodePerSequenceMS
//
// with 20,000 tokens/s, 20 ms and 0.05 ms for each of n decoding requests, so a
// full chunk slows decoding by 102 ms. A request with a lower priority value
// overtakes a long prefill at the next chunk. The step that completes a prompt
// produces the first token.
//
// KV memory is limited (400,000 tokens). A request reserves memory for its prompt
// and its maximum output when it leaves the waiting queue; when the request at the
// head of the queue does not fit, it blocks those behind it until it does. Full
// blocks of 512 prompt tokens stay in a prefix cache keyed by chained xxhash and
// are evicted in LRU order. A request that can never fit is rejected with status
// 413.
//
// A cold engine prefills at a tenth of the speed and crashes when it holds more
// requests than its cold limit; it boots again after 5 s with a new boot number.
// It is cold after a boot for ColdRequests requests or ColdSeconds, whichever ends
// first, and when a fault makes it cold.
//
// All durations of the model are multiplied by the time scale. Durations of the
// protocol are not scaled: the announcement interval, the resume period of
// interrupted streams (5 s), the lifetime of exports (10 s) and the delay of load
// reports.
//
// # KV export and import
//
// A request with do_remote_decode produces one token and keeps its KV cache as an
// export; the response carries the kv_transfer_params for the importer. A request
// with do_remote_prefill copies the export at TransferTokensPerSecond (400,000)
// and then releases it. part_tokens serves prompts that are larger than the memory
// of one engine: each member of a chain of engines prefills that many tokens after
// the imported ones, which stay in the memory of the engine that exported them,
// and at the end each member releases the export that it imported. An export that
// is neither imported nor renewed within its lifetime is released.
package standin
