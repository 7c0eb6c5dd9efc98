/** What the probe inside a measured process reports. */

/** Bytes of the connections of one kind. */
export interface Traffic {
  readonly readBytes: number;
  readonly writtenBytes: number;
  readonly connections: number;
}

/** State of a measured process; processor time and bytes count from its start. */
export interface ProbeSample {
  readonly cpuMs: number;
  readonly rssBytes: number;
  /** Live objects, and buffers outside the heap. */
  readonly heapBytes: number;
  /** By `in` for accepted connections and `out:PORT` for connections to a port. */
  readonly traffic: Readonly<Record<string, Traffic>>;
}

/** Asks the probe for a sample. */
export interface ProbeRequest {
  readonly kind: 'sample';
  /** Collects garbage before the sample. */
  readonly collect: boolean;
}
