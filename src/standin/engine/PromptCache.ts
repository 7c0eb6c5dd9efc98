import { LRUCache } from 'lru-cache';
import murmurhash from 'murmurhash';
import { countTokens } from '../Answers.js';
import type { CacheEventLog } from './CacheEventLog.js';

/** Prefixes are cached in whole blocks of this many characters. */
const BLOCK_CHARACTERS = 256;
const BLOCK_TOKENS = countTokens(' '.repeat(BLOCK_CHARACTERS));

/** Prompt prefix cache of an engine: least recently used blocks are evicted first. */
export class PromptCache {
  private readonly blocks: LRUCache<number, true>;

  /**
   * @param tokens - size; below one block nothing is cached
   * @param events - where changes are recorded
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
   * @param model - model of the prompt; models share nothing
   * @param prompt - whole prompt
   * @returns number of tokens of the longest cached prefix
   */
  cachedTokens(model: string, prompt: string): number {
    const blocks = blocksOf(model, prompt);
    const firstMissing = blocks.findIndex((block) => this.blocks.get(block) === undefined);
    return (firstMissing < 0 ? blocks.length : firstMissing) * BLOCK_TOKENS;
  }

  /**
   * Stores the prefixes of a prompt that was processed.
   * @param model - model of the prompt
   * @param prompt - whole prompt
   */
  store(model: string, prompt: string): void {
    if (!this.isEnabled) return;
    blocksOf(model, prompt).forEach((block) => {
      if (!this.blocks.has(block)) this.events.record('stored', block);
      this.blocks.set(block, true);
    });
  }
}

/** Hashes of all prefixes that end at the end of a block; each hash includes the one before. */
function blocksOf(model: string, prompt: string): number[] {
  const blocks: number[] = [];
  let hash = murmurhash.v3(model);
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    hash = murmurhash.v3(prompt.slice(end - BLOCK_CHARACTERS, end), hash);
    blocks.push(hash);
  }
  return blocks;
}
