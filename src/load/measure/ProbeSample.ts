/** Messages between the probe in a measured process and the parent process. */

/** Number of connections of one kind and their bytes. */
export interface Traffic {
  readonly readBytes: number;
  readonly writtenBytes: number;
  readonly connections: number;
}

/** Resource usage of a measured process. CPU time and bytes are totals since its start. */
export interface ProbeSample {
  readonly cpuMs: number;
  readonly rssBytes: number;
  /** Bytes of the used heap and of buffers outside the heap. */
  readonly heapBytes: number;
  /** Traffic by name: `in` for accepted connections, `out:PORT` for connections to a port. */
  readonly traffic: Readonly<Record<string, Traffic>>;
}

/** Requests a sample from the probe. */
export interface ProbeRequest {
  readonly kind: 'sample';
  /** Whether garbage is collected before the sample. */
  readonly collect: boolean;
}
