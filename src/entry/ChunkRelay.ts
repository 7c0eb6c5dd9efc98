/** Takes chunks in order of their offsets. */
type ChunkListener = (offset: number, text: string) => void;

/**
 * Passes generated text on once, although several attempts may generate it. A retry generates the
 * text from the start; what the caller already has is compared and left out. If the new text differs,
 * chunks are passed on from the first that differs, and the caller replaces its own from there.
 */
export class ChunkRelay {
  private readonly relayed: string[] = [];

  constructor(private readonly listener: ChunkListener) {}

  /**
   * @param offset - chunk number in its attempt
   * @param text - text of the chunk
   */
  relay(offset: number, text: string): void {
    if (this.relayed[offset] === text) return;
    this.relayed.length = Math.min(this.relayed.length, offset);
    this.relayed.push(text);
    this.listener(offset, text);
  }
}
