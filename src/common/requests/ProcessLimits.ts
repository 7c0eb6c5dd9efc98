import type { ClientLimits } from './Types.js';

/** Capacity of an instance as far as it bounds what clients may make a process hold. */
export interface InstanceCapacity {
  /** Memory of the process, in MB. */
  readonly memoryMb?: number | undefined;
  /** Descriptors that the instance may open. */
  readonly maxDescriptors?: number | undefined;
}

/** Limits of one process, with all defaults applied. */
export interface ProcessLimits {
  /** Most bytes that are held for clients. */
  readonly heldBytes: number;
  /** Most bytes of buffered responses; Infinity if the memory is not known. */
  readonly responseBytes: number;
  /** Most connections of callers. */
  readonly connections: number;
  /** Most connections to backend servers; Infinity if the descriptors are not known. */
  readonly serverConnections: number;
}

/** Memory and descriptors of an instance whose settings state none. */
const DEFAULT_MEMORY_MB = 512;
const DEFAULT_MAX_DESCRIPTORS = 10_000;

const BYTES_PER_MB = 1_000_000;

/** Shares of the memory; an idle process takes about half of the smallest one. */
const HELD_SHARE = 0.1;
const RESPONSE_SHARE = 0.15;
const CONNECTION_SHARE = 0.2;

/** Memory of a connection with an incomplete head, in bytes. */
const CONNECTION_BYTES = 24 * 1024;

/** Descriptors that are left to files. */
export const FILE_DESCRIPTORS = 200;

/** Shares of the other descriptors; store, peers and readiness need the rest. */
const CALLER_SHARE = 0.6;
const SERVER_SHARE = 0.25;

/**
 * @param capacity - capacity of the instance
 * @param limits - limits that the settings state
 * @returns limits of the process
 */
export function processLimitsOf(capacity: InstanceCapacity, limits: ClientLimits): ProcessLimits {
  const { memoryMb, maxDescriptors = DEFAULT_MAX_DESCRIPTORS } = capacity;
  const memoryBytes = (memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB;
  const byMemory = (memoryBytes * CONNECTION_SHARE) / CONNECTION_BYTES;
  const byDescriptors = (maxDescriptors - FILE_DESCRIPTORS) * CALLER_SHARE;
  const forServers = ((capacity.maxDescriptors ?? Infinity) - FILE_DESCRIPTORS) * SERVER_SHARE;
  return {
    serverConnections: Math.floor(forServers),
    heldBytes: limits.heldBytes ?? Math.floor(memoryBytes * HELD_SHARE),
    responseBytes: memoryMb === undefined ? Infinity : Math.floor(memoryBytes * RESPONSE_SHARE),
    connections: limits.connections ?? Math.floor(Math.min(byMemory, byDescriptors)),
  };
}

/**
 * @param capacity - capacity of the instance
 * @param limits - limits that the settings state
 * @returns name of each setting whose value is impossible, with the reason
 */
export function impossibleLimits(
  { memoryMb, maxDescriptors }: InstanceCapacity,
  { heldBytes, connections }: ClientLimits,
): Readonly<Partial<Record<'heldBytes' | 'connections', string>>> {
  const memoryBytes = (memoryMb ?? Infinity) * BYTES_PER_MB;
  const available = (maxDescriptors ?? Infinity) - FILE_DESCRIPTORS;
  return {
    ...(heldBytes !== undefined &&
      heldBytes >= memoryBytes && { heldBytes: `less than memoryMb of ${memoryMb} MB` }),
    ...(connections !== undefined &&
      connections >= available && {
        connections: `less than maxDescriptors of ${maxDescriptors}, less ${FILE_DESCRIPTORS}`,
      }),
  };
}
