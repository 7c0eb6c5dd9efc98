import { chooseStreamRecorders } from '../common/serving/StreamRecorders.js';
import type { ServerObservations } from './ServerObservations.js';
import type { StoreEra } from './StoreEra.js';
import { StreamOriginTable, type StreamOriginTableServices } from './StreamOriginTable.js';
import type { PeerView } from './peers/PeerView.js';

/** Dependencies of {@link createStreamTable}. */
export interface StreamTableParts extends Omit<
  StreamOriginTableServices,
  'origins' | 'isRecorder'
> {
  readonly observations: Pick<ServerObservations, 'streamOrigins'>;
  readonly storeEra: StoreEra;
  readonly peerView: Pick<PeerView, 'liveHeartbeats'>;
  readonly isLeaving: () => boolean;
}

/**
 * Creates the table of the streams that can be taken up.
 * @param parts - state of the process and its connection to the store
 * @returns the table
 */
export function createStreamTable({
  observations,
  storeEra,
  peerView,
  isLeaving,
  ...parts
}: StreamTableParts): StreamOriginTable {
  const { ownId } = parts;
  const table = new StreamOriginTable({
    ...parts,
    origins: observations.streamOrigins,
    isRecorder: () => {
      const own = { id: ownId, isLeaving: isLeaving() };
      return chooseStreamRecorders([own, ...peerView.liveHeartbeats()]).includes(ownId);
    },
  });
  storeEra.onRaised(() => table.rewrite());
  return table;
}
