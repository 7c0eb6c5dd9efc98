import { LRUCache } from 'lru-cache';
import murmurhash from 'murmurhash';
import { countTokens } from '../BackendOutput.js';
import type { CacheEventLog } from './CacheEventLog.js';

/** Prefixes are cached in blocks of this number of characters. */
const BLOCK_CHARACTERS = 256;
const BLOCK_TOKENS = countTokens(' '.repeat(BLOCK_CHARACTERS));

/** Prompt prefix cache of an engine. Evicts the least recently used blocks. */
export class PromptCache {
  private readonly blocks: LRUCache<number, true>;

  /**
   * @param tokens - capacity, in tokens; below the size of a block nothing is cached
   * @param events - log that records stored and evicted blocks
   */
  constructor(
    tokens: number,
    private readonly events: CacheEventLog,
  ) {
    this.blocks = new LRUCache({
      max: Math.max(1, Math.floor(tokens / BLOCK_TOKENS)),
      dispose: (_value, block, reason) => {
        if (reason === 'evict') this.events.record('evicted', block);
      },
    });
    this.isEnabled = tokens >= BLOCK_TOKENS;
  }

  private readonly isEnabled: boolean;

  /**
   * Returns the length of the longest cached prefix of a prompt.
   * @param model - model of the prompt; models share no prefixes
   * @param prompt - complete prompt
   * @returns number of tokens
   */
  cachedTokens(model: string, prompt: string): number {
    const blocks = blocksOf(model, prompt);
    const firstMissing = blocks.findIndex((block) => this.blocks.get(block) === undefined);
    return (firstMissing < 0 ? blocks.length : firstMissing) * BLOCK_TOKENS;
  }

  /**
   * Stores the prefixes of a processed prompt.
   * @param model - model of the prompt
   * @param prompt - complete prompt
   */
  store(model: string, prompt: string): void {
    if (!this.isEnabled) return;
    blocksOf(model, prompt).forEach((block) => {
      if (!this.blocks.has(block)) this.events.record('stored', block);
      this.blocks.set(block, true);
    });
  }
}

/**
 * Returns the hashes of all prefixes that end at a block boundary. Each hash is seeded with the one
 * before.
 */
function blocksOf(model: string, prompt: string): number[] {
  const blocks: number[] = [];
  let hash = murmurhash.v3(model);
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    hash = murmurhash.v3(prompt.slice(end - BLOCK_CHARACTERS, end), hash);
    blocks.push(hash);
  }
  return blocks;
}
