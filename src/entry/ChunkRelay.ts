/** Called with chunks that the caller does not have yet. */
type ChunkListener = (offset: number, text: string) => void;

/**
 * Relays generated text once, although several attempts may generate it. A retry generates the text
 * from the start; chunks equal to those already relayed are left out. From the first chunk that
 * differs, all chunks are relayed, and the caller replaces its chunks from that offset on.
 */
export class ChunkRelay {
  private readonly relayed: string[] = [];

  constructor(private readonly listener: ChunkListener) {}

  /**
   * @param offset - position of the chunk in its attempt, from 0
   * @param text - text of the chunk
   */
  relay(offset: number, text: string): void {
    if (this.relayed[offset] === text) return;
    this.relayed.length = Math.min(this.relayed.length, offset);
    this.relayed.push(text);
    this.listener(offset, text);
  }
}
