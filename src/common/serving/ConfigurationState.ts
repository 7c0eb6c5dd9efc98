/** What processes tell each other about the configurations that they apply and read. */
import { z } from 'zod';
import { StorePosition } from './StorePosition.js';

/** A configuration without its content. */
export const ConfigurationIdentity = z.object({
  /** Number that the operator gave it. */
  version: z.number(),
  /** Digest of the content. */
  digest: z.number(),
  /** Latest position of the store at which its row is known to have been written. */
  position: StorePosition,
  /**
   * Whether it is known to have been written in the era of its position. Otherwise, the copy from
   * which the store was restored may have held it.
   */
  isWritten: z.boolean(),
});
export type ConfigurationIdentity = z.infer<typeof ConfigurationIdentity>;

/** Which configuration a process applies and which one it has read; part of its heartbeats. */
export const ConfigurationState = z.object({
  /** Configuration in force. */
  inForce: ConfigurationIdentity,
  /** Last one read from the store, and whether it is known to be older than the restore. */
  stored: ConfigurationIdentity.extend({ isLeftover: z.boolean() }).optional(),
});
export type ConfigurationState = z.infer<typeof ConfigurationState>;

/** What a process knows about the order of configurations; sent to its peers with the content. */
export const ConfigurationHistory = z.object({
  /** Number of the configuration in force. */
  version: z.number(),
  /** Absent in messages of older versions. */
  state: ConfigurationState.optional(),
  /** Digests of the configurations that were in force, with the era of the first read. */
  known: z.array(z.tuple([z.number(), z.number()])).default([]),
  /** Numbers of the known configurations; absent in messages of older versions. */
  knownVersions: z.array(z.number()).default([]),
});
export type ConfigurationHistory = z.infer<typeof ConfigurationHistory>;

/** A configuration of the store. */
export type OfferedConfiguration = Omit<ConfigurationIdentity, 'isWritten'>;

/** @returns whether two processes apply the same configuration */
export function isSameContent(left: OfferedConfiguration, right: OfferedConfiguration): boolean {
  return left.digest === right.digest && left.version === right.version;
}

/** @returns whether two processes have read the same row */
export function isSameRow(left: OfferedConfiguration, right: OfferedConfiguration): boolean {
  const isSamePosition =
    left.position.era === right.position.era && left.position.version === right.position.version;
  return isSamePosition && left.digest === right.digest;
}
