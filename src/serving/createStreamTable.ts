import type { ServerObservations } from './ServerObservations.js';
import type { StoreEra } from './StoreEra.js';
import { StreamOriginTable, type StreamOriginTableServices } from './StreamOriginTable.js';

/** Dependencies of {@link createStreamTable}. */
export interface StreamTableParts extends Omit<StreamOriginTableServices, 'origins'> {
  readonly observations: Pick<ServerObservations, 'serviceVersions' | 'streamOrigins'>;
  readonly storeEra: StoreEra;
}

/**
 * Creates the table of the streams that began while a service had several versions. Streams that began
 * before the second version was known are written when it is.
 * @param parts - state of the process and its connection to the store
 * @returns the table
 */
export function createStreamTable({
  observations: { serviceVersions, streamOrigins },
  storeEra,
  ...parts
}: StreamTableParts): StreamOriginTable {
  const table = new StreamOriginTable({ ...parts, origins: streamOrigins });
  let hadSeveral = false;
  serviceVersions.onChanged(() => {
    const { hasSeveral } = serviceVersions;
    if (hasSeveral && !hadSeveral) streamOrigins.ownIds.forEach((id) => table.record(id));
    hadSeveral = hasSeveral;
  });
  storeEra.onRaised(() => table.rewrite());
  return table;
}
