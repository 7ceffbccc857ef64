package io.cherryspool.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Checks which bytes the filter buffers, forwards and discards. */
class AbandonedRequestFilterTest {
  private static final int SMALL_BYTES = 100;
  private static final int LARGE_BYTES = 5000;

  /**
   * Whether the channel reports that it is closed. The test does not close the real channel, since
   * that would first run the pending check.
   */
  private boolean isClosed;

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new AbandonedRequestFilter()) {
        @Override
        public boolean isActive() {
          return !isClosed && super.isActive();
        }
      };

  private ByteBuf receive(int bytes) {
    ByteBuf buffer = Unpooled.buffer(bytes).writeZero(bytes);
    channel.pipeline().fireChannelRead(buffer);
    return buffer;
  }

  @Test
  void forwardsBytesInOrderOnceTheReadIsComplete() {
    ByteBuf first = receive(SMALL_BYTES);
    ByteBuf second = receive(SMALL_BYTES);
    assertNull(channel.readInbound(), "the bytes must be buffered until the read is complete");
    channel.pipeline().fireChannelReadComplete();
    channel.runPendingTasks();
    assertSame(first, channel.readInbound());
    assertSame(second, channel.readInbound());
    channel.finishAndReleaseAll();
  }

  @Test
  void releasesTheBytesOfAClosedConnection() {
    ByteBuf buffer = receive(SMALL_BYTES);
    isClosed = true;
    channel.pipeline().fireChannelReadComplete();
    channel.runPendingTasks();
    assertNull(channel.readInbound());
    assertEquals(0, buffer.refCnt());
  }

  /**
   * If the filter buffered all bytes, fifty connections that each send a megabyte would exhaust the
   * memory for buffers.
   */
  @Test
  void forwardsAllBytesOnceTheBufferLimitIsExceeded() {
    receive(LARGE_BYTES);
    assertNull(channel.readInbound());
    ByteBuf second = receive(LARGE_BYTES);
    channel.<ByteBuf>readInbound().release();
    assertSame(second, channel.readInbound(), "the bytes beyond the limit must be forwarded too");
    second.release();
    channel.finishAndReleaseAll();
  }
}
