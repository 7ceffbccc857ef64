package io.cherryspool.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

class AbandonedRequestFilterTest {
  private static final int SMALL = 100;
  private static final int LARGE = 5000;

  /** The channel's own close runs what is pending first, as does its read. */
  private boolean closed;

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new AbandonedRequestFilter()) {
        @Override
        public boolean isActive() {
          return !closed && super.isActive();
        }
      };

  private ByteBuf read(int bytes) {
    ByteBuf buffer = Unpooled.buffer(bytes).writeZero(bytes);
    channel.pipeline().fireChannelRead(buffer);
    return buffer;
  }

  @Test
  void passesOnInOrderOnceTheReadIsComplete() {
    ByteBuf first = read(SMALL);
    ByteBuf second = read(SMALL);
    assertNull(channel.readInbound(), "held until then");
    channel.pipeline().fireChannelReadComplete();
    channel.runPendingTasks();
    assertSame(first, channel.readInbound());
    assertSame(second, channel.readInbound());
    channel.finishAndReleaseAll();
  }

  @Test
  void releasesWhatAClosedPeerHasSent() {
    ByteBuf buffer = read(SMALL);
    closed = true;
    channel.pipeline().fireChannelReadComplete();
    channel.runPendingTasks();
    assertNull(channel.readInbound());
    assertEquals(0, buffer.refCnt());
  }

  /** Fifty connections that each send a megabyte would hold all of the buffers' memory. */
  @Test
  void holdsNoMoreThanSmallRequests() {
    read(LARGE);
    assertNull(channel.readInbound());
    ByteBuf second = read(LARGE);
    channel.<ByteBuf>readInbound().release();
    assertSame(second, channel.readInbound(), "nothing is held any more");
    second.release();
    channel.finishAndReleaseAll();
  }
}
